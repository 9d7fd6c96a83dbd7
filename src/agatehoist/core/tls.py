"""TLS contexts of the HTTP clients."""

from __future__ import annotations

import ssl

HTTPS_PREFIX = "https://"


def tls_context(url: str) -> ssl.SSLContext:
    """Return a TLS context that trusts this machine's root certificates for HTTPS URLs.

    For plain HTTP the context has no root certificates, which saves memory.
    """
    if url.startswith(HTTPS_PREFIX):
        return ssl.create_default_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
