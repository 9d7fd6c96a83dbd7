"""Checks on every request: key, size and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.configuration.keys import digest_key
from agatehoist.refusals.kinds import (
    BodyTooLarge,
    InvalidParameter,
    Leaving,
    MissingKey,
    UnknownKey,
)

if TYPE_CHECKING:
    from starlette.requests import Request

    from agatehoist.router.state import RouterState

MAX_BODY_BYTES = 4 * 1024 * 1024
BEARER = "bearer "
KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255


def authorise(state: RouterState, request: Request) -> str:
    """Return the organisation of the caller's key.

    Raises RequestRefusedError.
    """
    header = request.headers.get("authorization", "")
    if not header.lower().startswith(BEARER):
        raise MissingKey.refuse("send a bearer key in the Authorization header")
    digest = digest_key(header[len(BEARER) :].strip())
    organisation = state.organisations_by_digest.get(digest)
    if organisation is None:
        raise UnknownKey.refuse("the key belongs to no organisation")
    return organisation


def require_ready(state: RouterState) -> None:
    """Refuse new work while the router leaves or has no configuration.

    Raises RequestRefusedError.
    """
    if not state.ready:
        raise Leaving.refuse("the router takes no new work", state.clock.now() + 1)


def read_key(request: Request) -> str | None:
    """Return the caller's idempotency key, if there is one.

    Raises RequestRefusedError.
    """
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return None
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        raise InvalidParameter.refuse(
            f"{KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} characters"
        )
    return key


async def read_body(request: Request) -> bytes:
    """Return the body.

    Raises RequestRefusedError if it is over the limit.
    """
    chunks: list[bytes] = []
    length = 0
    async for chunk in request.stream():
        length += len(chunk)
        if length > MAX_BODY_BYTES:
            raise BodyTooLarge.refuse(f"body is over {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
