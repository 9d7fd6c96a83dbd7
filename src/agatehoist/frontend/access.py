"""Checks on every request: key, body size, body time and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.configuration.keys import bearer_key
from agatehoist.core.byte_budget import ByteBudgetExceededError
from agatehoist.refusals.kinds import (
    BodyTimeout,
    BodyTooLarge,
    InvalidParameter,
    Leaving,
    MissingKey,
    RouterBusy,
    UnknownKey,
)

if TYPE_CHECKING:
    from starlette.requests import Request

    from agatehoist.core.byte_budget import BufferUsage
    from agatehoist.router.state import RouterState

BODY_TIMEOUT_S = 20.0
MAX_REQUESTS_IN_FLIGHT = 2048
MAX_BODY_BYTES = 4 * 1024 * 1024
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255


def authenticate(state: RouterState, request: Request) -> str:
    """Return the organisation that the bearer key belongs to.

    Raises RequestRefusedError.
    """
    key = bearer_key(request.headers.get("authorization", ""))
    if key is None:
        raise MissingKey.refuse("send a bearer key in the Authorization header")
    organisation = state.key_index.organisation_of(key)
    if organisation is None:
        raise UnknownKey.refuse("the key belongs to no organisation")
    return organisation


def require_ready_and_below_limit(state: RouterState) -> None:
    """Refuse new work while the router shuts down, has no configuration or is full.

    Callers are told to try again after a second.

    Raises RequestRefusedError.
    """
    if not state.ready:
        raise Leaving.refuse("the router takes no new work", state.clock.now() + 1)
    if state.in_flight.count >= MAX_REQUESTS_IN_FLIGHT:
        raise RouterBusy.refuse("too many requests in flight", state.clock.now() + 1)


def read_idempotency_key(request: Request) -> str | None:
    """Return the caller's idempotency key, if there is one.

    Raises RequestRefusedError.
    """
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is None:
        return None
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise InvalidParameter.refuse(
            f"{IDEMPOTENCY_KEY_HEADER} must have 1 to "
            f"{MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        )
    return key


async def read_body(
    state: RouterState, request: Request, organisation: str = ""
) -> bytes:
    """Read the body within the limits on its size and time.

    Raises RequestRefusedError if it is too large, takes too long, or doesn't fit into
    the budget of buffered bytes beside those of other organisations.
    """
    scope = anyio.CancelScope()
    budget = state.body_budget
    try:
        with (
            anyio.fail_after(BODY_TIMEOUT_S),
            budget.track_buffer(organisation, scope.cancel) as reservation,
            scope,
        ):
            return await _read_chunks(request, reservation)
        raise ByteBudgetExceededError("the body was evicted for others")
    except TimeoutError:
        detail = f"body did not arrive within {BODY_TIMEOUT_S:g} s"
        raise BodyTimeout.refuse(detail) from None
    except ByteBudgetExceededError as error:
        raise RouterBusy.refuse(str(error), state.clock.now() + 1) from error


async def _read_chunks(request: Request, reservation: BufferUsage) -> bytes:
    chunks: list[bytes] = []
    async for chunk in request.stream():
        reservation.add_bytes(len(chunk))
        if reservation.held_bytes > MAX_BODY_BYTES:
            raise BodyTooLarge.refuse(f"body is larger than {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
