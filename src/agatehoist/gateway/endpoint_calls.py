"""Control calls to endpoints: reports, weights orders and moves."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.address import Address
from agatehoist.errors import AgatehoistError
from agatehoist.fleet.silence import TOLERATED_SILENCE_S
from agatehoist.gateway.endpoint_statements import note_statement

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint, EndpointReport
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.types import Reply, RequestHead
    from agatehoist.weights.types import WeightsOrder

# Reports take a few milliseconds and orders are acknowledged before they are executed.
CALL_TIMEOUT_S = 0.4
# A sound endpoint may be silent in the middle of a move, whose reply names the copy.
MOVE_TIMEOUT_S = TOLERATED_SILENCE_S + CALL_TIMEOUT_S
# The reply to a call may name a limit, but one without a limit doesn't end it.
NOT_A_REQUEST = 0.0
# Replies to the order to stop a run that has ended, that is being moved already, or
# that another endpoint runs.
NOT_STOPPED = (
    HTTPStatus.NOT_FOUND,
    HTTPStatus.CONFLICT,
    HTTPStatus.MISDIRECTED_REQUEST,
)
MAX_REPLY_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class StoppedRun:
    """Name a run that was stopped, and tell whether its copy is at the destination.

    The endpoint that ran it can continue it in any case.
    """

    name: str
    is_copied: bool


class CallFailedError(AgatehoistError):
    """Report a call without a valid reply; an order may have taken effect."""


async def read_report(state: GatewayState, endpoint: Endpoint) -> EndpointReport:
    """Request an engine's report.

    Raises CallFailedError.
    """
    reply = await _call(state, endpoint, state.platform.report_head(endpoint), b"")
    try:
        return state.platform.read_report(reply)
    except AgatehoistError as error:
        raise CallFailedError(f"{endpoint.name}: {error}") from error


async def send_order(
    state: GatewayState, endpoint: Endpoint, order: WeightsOrder
) -> HTTPStatus:
    """Send a weights order to an engine and return the status of its reply.

    Raises CallFailedError.
    """
    head, body = state.platform.order_request(endpoint, order)
    reply = await _call(state, endpoint, head, body)
    try:
        return HTTPStatus(reply.head.status)
    except ValueError as error:
        raise CallFailedError(f"{endpoint.name}: {error}") from error


async def copy_run(
    state: GatewayState, source: Endpoint, request_id: str, destination: Endpoint
) -> str:
    """Copy the KV cache of a run, which goes on, and return the name of the copy.

    Raises CallFailedError, also if the destination can't take the copy.
    """
    head, body = state.platform.move_request(source, request_id, destination, False)
    # The reply doesn't say which run it names.
    reply = await _call(state, source, head, body, True, MOVE_TIMEOUT_S)
    name = state.platform.read_move_reply(source, reply)
    if reply.head.status != HTTPStatus.OK or not name:
        raise CallFailedError(f"{source.name} answered {reply.head.status}")
    return name


async def move_run(
    state: GatewayState,
    source: Endpoint,
    request_id: str,
    destination: Endpoint,
    timeout_s: float = MOVE_TIMEOUT_S,
) -> StoppedRun | None:
    """Stop a run and copy the rest of its KV cache; return None if it wasn't stopped.

    Raises CallFailedError, after which the run may have been stopped, or may be later.
    """
    head, body = state.platform.move_request(source, request_id, destination, True)
    # The reply doesn't say which run it names.
    reply = await _call(state, source, head, body, True, timeout_s)
    name = state.platform.read_move_reply(source, reply)
    if name:
        return StoppedRun(name, reply.head.status == HTTPStatus.OK)
    is_rejected = state.platform.is_not_executed(reply.head)
    if is_rejected or reply.head.status in NOT_STOPPED:
        return None
    raise CallFailedError(f"{source.name} answered {reply.head.status}")


async def free_copy(state: GatewayState, destination: Endpoint, name: str) -> None:
    """Drop the copy of a run that isn't needed, which holds a slot.

    Raises CallFailedError.
    """
    head = state.platform.free_copy_head(destination, name)
    await _call(state, destination, head, b"", True)


async def _call(
    state: GatewayState,
    endpoint: Endpoint,
    head: RequestHead,
    body: bytes,
    fresh: bool = False,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    try:
        with anyio.fail_after(timeout_s):
            reply = await state.pool.exchange(
                endpoint.lifetime,
                Address(endpoint.host, endpoint.port),
                head,
                body,
                MAX_REPLY_BYTES,
                state.platform.idle_limit_s,
                fresh,
            )
    except TimeoutError as error:
        raise CallFailedError(f"{endpoint.name}: no answer in time") from error
    except AgatehoistError as error:
        raise CallFailedError(f"{endpoint.name}: {error}") from error
    note_statement(state, endpoint, reply.head, NOT_A_REQUEST)
    return reply
