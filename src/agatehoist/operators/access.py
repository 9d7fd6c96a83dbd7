"""Keys of the operators' interface."""

from __future__ import annotations

import functools
import hmac
from typing import TYPE_CHECKING

from starlette.responses import JSONResponse, Response

from agatehoist.configuration.keys import bearer_key, digest_key

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    Endpoint = Callable[[Request], Awaitable[Response]]


def holds_operator_key(header: str, key_digests: tuple[str, ...]) -> bool:
    """Say whether an Authorization header carries one of the keys."""
    key = bearer_key(header)
    if key is None:
        return False
    digest = digest_key(key)
    # Every digest is compared, so that the time tells nothing of which fits.
    matches = [hmac.compare_digest(digest, known) for known in key_digests]
    return any(matches)


def for_operators(key_digests: tuple[str, ...], endpoint: Endpoint) -> Endpoint:
    """Return the endpoint behind a check of the operators' key.

    Without a key in the settings the interface doesn't exist.
    """

    @functools.wraps(endpoint)
    async def checked(request: Request) -> Response:
        if not key_digests:
            return _refuse(404, "this process has no operators' interface")
        if not holds_operator_key(
            request.headers.get("authorization", ""), key_digests
        ):
            return _refuse(401, "send an operator's key in the Authorization header")
        return await endpoint(request)

    return checked


def _refuse(status: int, text: str) -> Response:
    return JSONResponse({"error": {"message": text}}, status)
