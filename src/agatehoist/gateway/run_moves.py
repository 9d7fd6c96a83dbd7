"""Migration of runs away from endpoints that are about to stop serving them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.attempts.types import RunMoved
from agatehoist.core.identity import EndpointIdentity
from agatehoist.fleet.view import UNKNOWN_VERSION
from agatehoist.gateway.endpoint_calls import (
    CALL_TIMEOUT_S,
    MOVE_TIMEOUT_S,
    CallFailedError,
    move_run,
)
from agatehoist.gateway.endpoint_choice import required_version
from agatehoist.gateway.endpoint_permits import (
    acquire_permit,
    held_back_until,
    is_limited,
)
from agatehoist.observability.logs import get_logger
from agatehoist.placement.types import Candidate, Offer

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.attempt import Attempt
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

# Share of the retry budget that is reserved for retries of failed requests; moves spend
# only the rest.
RESERVED_BUDGET_SHARE = 0.15
# Runs move this long after their endpoint began to change its weights; those that end
# before needn't move.
MOVE_DELAY_S = 0.25
# Priority for permits: a run that doesn't move may be cut.
MOVE_PRIORITY = 0


def move_if_needed(
    state: GatewayState, request: RoutedRequest, attempt: Attempt, may_retry: bool
) -> Endpoint | None:
    """Start to move a run whose endpoint is leaving or about to change weights.

    Returns the destination of a move that has started. If another run may follow, it
    begins earlier than a slow move ends.
    """
    if attempt.is_moving or not _must_move(state, attempt.dispatch.endpoint):
        return None
    destination = find_destination(state, request, attempt)
    if destination is None:
        return None
    # The destination counts the continued run as a retry.
    retry_budget = state.retry_budget(request.service)
    if not retry_budget.try_spend(RESERVED_BUDGET_SHARE):
        return None
    attempt.is_moving = True
    may_retry = may_retry and retry_budget.has_retry()
    timeout_s = CALL_TIMEOUT_S if may_retry else MOVE_TIMEOUT_S
    state.spawn(_move, state, request, attempt, destination, timeout_s)
    return destination


def find_destination(
    state: GatewayState, request: RoutedRequest, attempt: Attempt
) -> Endpoint | None:
    """Return the least loaded endpoint that can continue a run, or None.

    It must have the same weights, since KV cache is valid only for the weights that
    computed it, and they must not be overdue for replacement: no run may begin on
    overdue weights, including a moved one.
    """
    prompt = request.envelope.prompt
    service = state.table.services_by_name.get(request.service) if state.table else None
    if prompt is None or service is None:
        return None
    if service.engines is None or not service.engines.move_runs:
        return None
    now = state.clock.now()
    version = attempt.dispatch.weights_version
    if version == UNKNOWN_VERSION:
        return None
    if version < required_version(state, prompt.model, now):
        return None
    source = attempt.dispatch.endpoint
    possible = [
        each
        for each in state.fleet.serving(request.service, now)
        if each.lifetime != source.lifetime
        and not state.weights.is_changing(each, now)
        and not state.suspects.is_suspected(each.name, now)
        and not state.active_requests.failed_copies.is_suspected(each.name, now)
        and held_back_until(state, each, MOVE_PRIORITY) is None
        and state.fleet.version_of(each, prompt.model) == version
    ]
    return min(
        possible,
        # An endpoint in another data centre counts as if it had one more run. One with
        # a limit may give no permit.
        key=lambda each: (
            # An endpoint that has crashed has no runs, and is listed for a while.
            state.suspects.has_failed(each.name),
            is_limited(state, each),
            state.load.runs(each.lifetime, now)
            + (each.data_centre != source.data_centre),
        ),
        default=None,
    )


def _must_move(state: GatewayState, endpoint: Endpoint) -> bool:
    now = state.clock.now()
    current = state.fleet.by_name.get(endpoint.name)
    if (
        current is not None
        and current.lifetime == endpoint.lifetime
        and state.fleet.is_leaving(current, now)
    ):
        return True
    since = state.weights.changing_since(endpoint, now)
    return since is not None and now >= since + MOVE_DELAY_S


async def _move(
    state: GatewayState,
    request: RoutedRequest,
    attempt: Attempt,
    destination: Endpoint,
    timeout_s: float,
) -> None:
    source = attempt.dispatch.endpoint
    request_id = request.envelope.request_id
    if not await acquire_permit(state, destination, MOVE_PRIORITY):
        logger.info("run not moved", request=request_id, reason="no permit")
        await attempt.cancel_move()
        return
    stopped = None
    try:
        stopped = await move_run(state, source, request_id, destination, timeout_s)
    except CallFailedError as error:
        logger.info("run not moved", request=request_id, reason=str(error))
    if stopped is None:
        await attempt.cancel_move()
        return
    version = attempt.dispatch.weights_version
    offer, fallback = _offer(destination, version), _offer(source, version)
    if not stopped.is_copied:
        logger.info(
            "run not copied, goes on where it was",
            request=request_id,
            endpoint=source.lifetime,
            destination=destination.lifetime,
        )
        state.active_requests.failed_copies.note_failure(
            destination.name, state.clock.now()
        )
        moved = RunMoved(attempt.attempt_id, fallback, stopped.name)
    else:
        state.active_requests.failed_copies.note_answer(destination.name)
        moved = RunMoved(attempt.attempt_id, offer, stopped.name, fallback)
    await attempt.send_event(moved)


def _offer(endpoint: Endpoint, version: int) -> Offer:
    identity = EndpointIdentity(endpoint.name, endpoint.lifetime, str(version))
    candidate = Candidate(endpoint.name, endpoint.data_centre)
    return Offer(candidate, identity, 0, 0.0)
