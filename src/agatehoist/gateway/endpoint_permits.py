"""Access to endpoints that have named a limit or asked this node for time."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.admission.line import ReturnTimes
from agatehoist.errors import AgatehoistError
from agatehoist.gateway.inner_calls import INNER_CALLS
from agatehoist.http1.types import Reply, ReplyHead, RequestHead
from agatehoist.limits.endpoint_permits import Permit, PermitRequest, ranked_homes
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import PERMITS_TOTAL
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.node_reports import endpoint_key
from agatehoist.protocol.permits import (
    PERMIT_TARGET,
    decode_permit,
    decode_permit_request,
    encode_permit,
    encode_permit_request,
)
from agatehoist.refusals.kinds import Overloaded

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.types import Request
    from agatehoist.refusals.types import Refusal

logger = get_logger("gateway")

# A home in another data centre replies within a few milliseconds.
PERMIT_TIMEOUT_S = 0.1
MAX_REPLY_BYTES = 1024
# Callers are told to come back as if the endpoints of a service took at least this in
# total, and each one without a limit this.
MIN_TOTAL_RATE_PER_S = 0.5
UNLIMITED_RATE_PER_S = 20.0


class PermitsUnavailableError(AgatehoistError):
    """Report a node that gives out no permits at the moment."""


async def acquire_permit(
    state: GatewayState, endpoint: Endpoint, priority: int
) -> bool:
    """Return whether a request may be sent to an endpoint now.

    Each request to an endpoint with a limit needs a permit from the limit's home.
    """
    key = endpoint_key(endpoint.lifetime)
    now = state.clock.now()
    limit_per_s = state.statements.limit_per_s(key, now)
    if limit_per_s is None:
        return True
    if state.permit_homes.refused_until(key, priority, now) is not None:
        return False
    request = PermitRequest(key, limit_per_s, priority)
    for home in state.permit_homes.to_ask(key, _nodes(state), now):
        permit = await _ask(state, home, request)
        if permit is None:
            state.permit_homes.note_unreachable(home, state.clock.now())
            continue
        PERMITS_TOTAL.inc({"outcome": "granted" if permit.granted else "refused"})
        if not permit.granted:
            state.permit_homes.note_refusal(request, permit)
        return permit.granted
    PERMITS_TOTAL.inc({"outcome": "unreachable"})
    return False


def is_limited(state: GatewayState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint has named a limit."""
    key = endpoint_key(endpoint.lifetime)
    return state.statements.limit_per_s(key, state.clock.now()) is not None


def held_back_until(
    state: GatewayState, endpoint: Endpoint, priority: int
) -> float | None:
    """Return until when an endpoint gets no requests of a priority, or None.

    It has asked this node for time, or its permits are spent.
    """
    key = endpoint_key(endpoint.lifetime)
    now = state.clock.now()
    paused_until = state.statements.paused_until(key, now)
    refused_until = None
    if state.statements.limit_per_s(key, now) is not None:
        refused_until = state.permit_homes.refused_until(key, priority, now)
    known = [each for each in (paused_until, refused_until) if each is not None]
    return max(known, default=None)


def earliest_start(
    state: GatewayState, service: str, priority: int, now: float
) -> float:
    """Return when the first endpoint of a service takes requests of a priority."""
    endpoints = state.fleet.serving(service, now)
    held = (held_back_until(state, each, priority) or now for each in endpoints)
    return min(held, default=now)


def held_back_refusal(
    state: GatewayState, service: str, priority: int, deadline: float
) -> Refusal | None:
    """Return the refusal of a request if no endpoint of a service takes any now.

    Returns None if an endpoint may be asked, or if there is none.
    """
    now = state.clock.now()
    start_at = earliest_start(state, service, priority, now)
    if start_at <= now:
        return None
    rates = (_rate_per_s(state, each) for each in state.fleet.serving(service, now))
    # Each node spreads the returns over its part of what the endpoints take.
    interval_s = len(_nodes(state)) / max(MIN_TOTAL_RATE_PER_S, sum(rates))
    return_times = state.return_times_by_service.setdefault(service, ReturnTimes())
    retry_at = return_times.next_at(deadline, interval_s, now, start_at)
    return Overloaded.refuse(
        f"all endpoints of {service} are at their limits or have asked for time",
        retry_at,
    ).refusal


def _rate_per_s(state: GatewayState, endpoint: Endpoint) -> float:
    key = endpoint_key(endpoint.lifetime)
    limit_per_s = state.statements.limit_per_s(key, state.clock.now())
    return UNLIMITED_RATE_PER_S if limit_per_s is None else limit_per_s


def _nodes(state: GatewayState) -> frozenset[Address]:
    return state.nodes | {state.settings.inner}


async def _ask(
    state: GatewayState, home: Address, request: PermitRequest
) -> Permit | None:
    """Return the permit of a home, or None if it can't be reached or is leaving."""
    if home == state.settings.inner:
        return None if state.leaving else _issue(state, request)
    try:
        with anyio.fail_after(PERMIT_TIMEOUT_S):
            return await _ask_peer(state, home, request)
    except (AgatehoistError, TimeoutError) as error:
        reason = str(error) or "no reply in time"
        logger.info("no permit from a home", home=str(home), reason=reason)
        return None


async def _ask_peer(
    state: GatewayState, home: Address, request: PermitRequest
) -> Permit:
    body = encode_permit_request(request)
    headers = (
        (b"host", str(home).encode()),
        (b"content-length", str(len(body)).encode()),
    )
    reply = await state.pool.exchange(
        str(home),
        home,
        RequestHead(b"POST", PERMIT_TARGET, headers),
        body,
        MAX_REPLY_BYTES,
    )
    if reply.head.status != HTTPStatus.OK:
        raise PermitsUnavailableError(f"status {reply.head.status}")
    return decode_permit(reply.body, state.clock.now())


@INNER_CALLS.register(PERMIT_TARGET)
async def answer_permit(state: GatewayState, request: Request) -> Reply:
    """Answer the request of another node for a permit."""
    try:
        permit_request = decode_permit_request(request.body)
    except BadFrameError as error:
        logger.info("invalid request for a permit", reason=str(error))
        return Reply(ReplyHead(HTTPStatus.BAD_REQUEST, ()), b"")
    if state.leaving:
        return Reply(ReplyHead(HTTPStatus.SERVICE_UNAVAILABLE, ()), b"")
    permit = _issue(state, permit_request)
    body = encode_permit(permit, state.clock.now())
    return Reply(ReplyHead(HTTPStatus.OK, ()), body)


def _issue(state: GatewayState, request: PermitRequest) -> Permit:
    now = state.clock.now()
    home = ranked_homes(request.endpoint, _nodes(state))[0]
    return state.permit_issuer.ask(request, home == state.settings.inner, now)
