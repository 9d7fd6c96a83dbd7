"""Identity of a request that comes again."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.routing.types import RoutedRequest

# Fingerprints are compared only with those of requests that were on crashes.
FINGERPRINT_BYTES = 6
LENGTH_BYTES = 8


def request_fingerprint(request: RoutedRequest) -> bytes:
    """Return a digest that a request shares with itself when it comes again.

    The request id and the deadline change each time, and so may the API key, for which
    its organisation stands, and the last part of the prompt, which may name a session.
    """
    envelope, prompt = request.envelope, request.envelope.prompt
    organisation = request.organisation.name if request.organisation else ""
    texts = [envelope.host, organisation]
    if prompt is not None:
        texts += [prompt.model, *(each.part_id for each in prompt.shared_parts)]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    fields = (each.encode("utf-8", "surrogateescape") for each in texts)
    for field in (envelope.method, envelope.target, envelope.body, *fields):
        # Without the lengths, bytes could pass from one field to the next.
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.digest()
