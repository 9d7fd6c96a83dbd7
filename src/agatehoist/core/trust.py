"""TLS contexts of the HTTP clients."""

from __future__ import annotations

import ssl

HTTPS = "https://"


def tls_context(url: str) -> ssl.SSLContext:
    """Return the context for a URL: the host's trusted roots for HTTPS.

    Plain HTTP gets a context without roots, which costs no memory.
    """
    if url.startswith(HTTPS):
        return ssl.create_default_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
