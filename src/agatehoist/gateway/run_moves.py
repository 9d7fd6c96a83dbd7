"""Migration of runs away from endpoints that are about to stop serving them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.attempts.types import MayBeStopped, RunMoved
from agatehoist.core.identity import EndpointIdentity
from agatehoist.fleet.view import UNKNOWN_VERSION
from agatehoist.gateway.endpoint_calls import (
    CALL_TIMEOUT_S,
    MOVE_TIMEOUT_S,
    CallFailedError,
    copy_run,
    free_copy,
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
    from agatehoist.attempts.budget import WindowBudget
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.attempt import Attempt
    from agatehoist.gateway.endpoint_calls import StoppedRun
    from agatehoist.gateway.state import GatewayState
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

# Share of the retry budget that is reserved for retries of failed requests; moves spend
# only the rest.
RESERVED_BUDGET_SHARE = 0.15
# Runs move this long after their endpoint began to change its weights; those that end
# before needn't move.
MOVE_DELAY_S = 0.25
# The stream of a run that was stopped ends within this time.
STOPPED_WITHIN_S = 0.3
# An order to stop without an answer may be carried out later. A run that may not be
# repeated can then only go on from its copy, which the destination keeps so long.
COPY_KEPT_S = 5.0
# Priority for permits: a run that doesn't move may be cut.
MOVE_PRIORITY = 0


def move_if_needed(
    state: GatewayState, request: RoutedRequest, attempt: Attempt, may_retry: bool
) -> Endpoint | None:
    """Start to move a run whose endpoint is leaving or about to change weights.

    Returns the destination of a move that has started. If another run may follow, it
    begins earlier than a slow stop of this one ends.
    """
    if attempt.is_moving or not _must_move(state, attempt.dispatch.endpoint):
        return None
    destination = find_destination(state, request, attempt)
    if destination is None:
        return None
    retry_budget = state.retry_budget(request.service)
    # They are taken when the run is stopped.
    if not _has_retries(retry_budget):
        return None
    if _may_be_cut(state, MOVE_TIMEOUT_S):
        return None
    attempt.is_moving = True
    state.spawn(_move, state, request, attempt, destination, may_retry)
    return destination


def _may_be_cut(state: GatewayState, takes_s: float) -> bool:
    """Return whether this process may stop before a run is continued elsewhere."""
    schedule = state.stop.schedule
    if schedule is None:
        return False
    return state.clock.now() + takes_s > schedule.answers_at


def find_destination(
    state: GatewayState, request: RoutedRequest, attempt: Attempt
) -> Endpoint | None:
    """Return the least loaded endpoint that can continue a run, or None."""
    now = state.clock.now()
    source = attempt.dispatch.endpoint
    possible = (
        each
        for each in _possible_destinations(state, request, attempt)
        if held_back_until(state, each, MOVE_PRIORITY) is None
    )
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


def _possible_destinations(
    state: GatewayState, request: RoutedRequest, attempt: Attempt
) -> list[Endpoint]:
    """Return the endpoints that can continue a run.

    They must have the same software, since the texts of two versions don't fit
    together, and the same weights, since KV cache is valid only for the weights that
    computed it. Those must not be overdue for replacement: no run may begin on overdue
    weights, including a moved one.
    """
    prompt = request.envelope.prompt
    service = state.table.services_by_name.get(request.service) if state.table else None
    if prompt is None or service is None:
        return []
    if service.engines is None or not service.engines.move_runs:
        return []
    now = state.clock.now()
    version = attempt.dispatch.weights_version
    if version == UNKNOWN_VERSION:
        return []
    # The run goes on elsewhere once it has been stopped, which may take this long.
    if version < required_version(state, prompt.model, now + MOVE_TIMEOUT_S):
        return []
    source = attempt.dispatch.endpoint
    return [
        each
        for each in state.fleet.serving(request.service, now)
        if each.lifetime != source.lifetime
        and each.software == source.software
        and not state.weights.is_changing(each, now)
        and not state.suspects.is_suspected(each.name, now)
        and not state.active_requests.failed_copies.is_suspected(each.name, now)
        and state.fleet.version_of(each, prompt.model) == version
    ]


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
    may_retry: bool,
) -> None:
    """Copy a run while it goes on, then stop it and continue it at the destination."""
    source, request_id = attempt.dispatch.endpoint, request.envelope.request_id
    failed_copies = state.active_requests.failed_copies
    if not await acquire_permit(state, destination, MOVE_PRIORITY):
        logger.info("run not moved", request=request_id, reason="no permit")
        await attempt.cancel_move()
        return
    try:
        name = await copy_run(state, source, request_id, destination)
    except CallFailedError as error:
        logger.info("run not copied", request=request_id, reason=str(error))
        failed_copies.note_failure(destination.name, state.clock.now())
        await attempt.cancel_move()
        return
    reason = await _reason_to_stay(state, request, attempt, destination, may_retry)
    moved = None
    if reason:
        logger.info("run not moved", request=request_id, reason=reason)
    else:
        taken_at = state.clock.now()
        moved = await _stop(
            state, request, attempt, destination, name, may_retry, taken_at
        )
    if moved is not None:
        if await attempt.send_event(moved):
            return
        # The caller has left meanwhile.
        retry_budget = state.retry_budget(request.service)
        retry_budget.give_back(moved.retries_taken_at)
        if moved.fallback is not None:
            retry_budget.give_back(moved.retries_taken_at)
        name = moved.run_name
    await attempt.cancel_move()
    try:
        await free_copy(state, destination, name)
    except CallFailedError as error:
        logger.info("copy not freed", request=request_id, reason=str(error))


async def _reason_to_stay(
    state: GatewayState,
    request: RoutedRequest,
    attempt: Attempt,
    destination: Endpoint,
    may_retry: bool,
) -> str:
    """Return why a copied run isn't to be stopped, or take the retries for its move.

    The destination counts the continued run as a retry, and so does the source if the
    run goes on there after all.
    """
    if attempt.has_ended:
        return "the run has ended"
    if may_retry and await attempt.has_failed_in_move():
        return "the run has failed"
    if destination not in _possible_destinations(state, request, attempt):
        return "the destination has changed"
    if _may_be_cut(state, CALL_TIMEOUT_S if may_retry else MOVE_TIMEOUT_S):
        return "the process stops"
    budget = state.retry_budget(request.service)
    if not _has_retries(budget):
        return "no retry left"
    budget.try_spend()
    budget.try_spend()
    return ""


def _has_retries(budget: WindowBudget) -> bool:
    """Return whether retries are left for the destination and for the source."""
    return budget.has_retry(RESERVED_BUDGET_SHARE) and budget.has_retry(count=2)


async def _stop(
    state: GatewayState,
    request: RoutedRequest,
    attempt: Attempt,
    destination: Endpoint,
    name: str,
    may_retry: bool,
    taken_at: float,
) -> RunMoved | None:
    """Stop a copied run; return where it can be continued, or None if it goes on.

    The retries for it were taken at an epoch time.
    """
    source, request_id = attempt.dispatch.endpoint, request.envelope.request_id
    version = attempt.dispatch.weights_version
    offer, fallback = _offer(destination, version), _offer(source, version)
    attempt.is_stopping = True
    stopped = None
    ends_within_s = STOPPED_WITHIN_S
    # A run that has failed meanwhile is continued by the copy that was made before.
    if not await attempt.has_failed_in_move():
        try:
            stopped = await _order_stop(state, request, attempt, destination, may_retry)
        except CallFailedError:
            ends_within_s = COPY_KEPT_S
            stoppable = MayBeStopped(attempt.attempt_id, fallback, name)
            await attempt.send_event(stoppable)
    retry_budget = state.retry_budget(request.service)
    failed_copies = state.active_requests.failed_copies
    if stopped is None:
        if not may_retry and await attempt.has_failed_in_move(ends_within_s):
            return RunMoved(attempt.attempt_id, offer, name, fallback, taken_at)
        failed_copies.note_failure(destination.name, state.clock.now())
        retry_budget.give_back(taken_at)
        retry_budget.give_back(taken_at)
        return None
    if stopped.is_copied:
        failed_copies.note_answer(destination.name)
        return RunMoved(attempt.attempt_id, offer, stopped.name, fallback, taken_at)
    logger.info(
        "run not copied, goes on where it was",
        request=request_id,
        endpoint=source.lifetime,
        destination=destination.lifetime,
    )
    failed_copies.note_failure(destination.name, state.clock.now())
    retry_budget.give_back(taken_at)
    return RunMoved(
        attempt.attempt_id, fallback, stopped.name, retries_taken_at=taken_at
    )


async def _order_stop(
    state: GatewayState,
    request: RoutedRequest,
    attempt: Attempt,
    destination: Endpoint,
    may_retry: bool,
) -> StoppedRun | None:
    """Order a run to stop; return None if it wasn't stopped.

    Raises CallFailedError, after which the run may have been stopped, or may be later.
    """
    source, request_id = attempt.dispatch.endpoint, request.envelope.request_id
    was_stopped_before = attempt.may_be_stopped
    attempt.may_be_stopped = True
    timeout_s = CALL_TIMEOUT_S if may_retry else MOVE_TIMEOUT_S
    try:
        stopped = await move_run(state, source, request_id, destination, timeout_s)
    except CallFailedError as error:
        attempt.unanswered_stops += 1
        # The endpoint may be silent, or sound, for all that is known.
        attempt.is_stopping = False
        logger.info(
            "run stopped without an answer",
            request=request_id,
            endpoint=source.lifetime,
            reason=str(error),
        )
        raise
    if stopped is None and not was_stopped_before:
        attempt.note_not_stopped()
    return stopped


def _offer(endpoint: Endpoint, version: int) -> Offer:
    identity = EndpointIdentity(endpoint.name, endpoint.lifetime, str(version))
    candidate = Candidate(endpoint.name, endpoint.data_centre)
    return Offer(candidate, identity, 0, 0.0)
