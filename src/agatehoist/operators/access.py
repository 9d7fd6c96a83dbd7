"""Authentication of operators by bearer keys."""

from __future__ import annotations

import functools
import hmac
from typing import TYPE_CHECKING

from starlette.responses import JSONResponse, Response

from agatehoist.configuration.keys import bearer_key, digest_key

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    Handler = Callable[[Request], Awaitable[Response]]


def has_valid_operator_key(header: str, key_digests: tuple[str, ...]) -> bool:
    """Return whether an Authorization header carries one of the keys."""
    key = bearer_key(header)
    if key is None:
        return False
    key_digest = digest_key(key)
    # Every digest is compared, so that the response time doesn't reveal which matches.
    comparisons = [
        hmac.compare_digest(key_digest, known_digest) for known_digest in key_digests
    ]
    return any(comparisons)


def require_operator_key(key_digests: tuple[str, ...], handler: Handler) -> Handler:
    """Return a request handler that requires an operator's key.

    If the settings name no key, it answers every request with 404.
    """

    @functools.wraps(handler)
    async def checked_handler(request: Request) -> Response:
        if not key_digests:
            return _error_response(404, "this process has no operators' interface")
        if not has_valid_operator_key(
            request.headers.get("authorization", ""), key_digests
        ):
            return _error_response(
                401, "send an operator's key in the Authorization header"
            )
        return await handler(request)

    return checked_handler


def _error_response(status: int, text: str) -> Response:
    return JSONResponse({"error": {"message": text}}, status)
