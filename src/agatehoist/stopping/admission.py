"""Decision whether a stopping process still takes a request.

It answers stops under load: a request that would be cut at the end of the grace period
is refused while another process has time to serve it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from agatehoist.refusals.kinds import Leaving
from agatehoist.routing.types import RouteKind

if TYPE_CHECKING:
    from agatehoist.refusals.types import Refusal
    from agatehoist.routing.types import RoutedRequest
    from agatehoist.stopping.durations import UsualDurations
    from agatehoist.stopping.schedule import StopSchedule

# Mean deviations above the mean that an answer is expected to take. At first the
# platform may send a refused caller here again, so a likely end is enough.
LIKELY_DEVIATIONS = 1.0
SURE_DEVIATIONS = 4.0
RETRY_DELAY_S = 0.1


def late_refusal(
    request: RoutedRequest,
    durations: UsualDurations,
    schedule: StopSchedule | None,
    now: float,
) -> Refusal | None:
    """Return the refusal of a request that can't be expected to end before a stop."""
    if schedule is None:
        return None
    ends_at = _expected_end(request, durations, schedule, now)
    # At its deadline the caller gets a final answer in any case.
    if min(ends_at, request.deadline) <= schedule.answers_at:
        return None
    detail = "the process stops before the answer is expected to end"
    return Leaving.refuse(detail, now + RETRY_DELAY_S).refusal


def _expected_end(
    request: RoutedRequest,
    durations: UsualDurations,
    schedule: StopSchedule,
    now: float,
) -> float:
    """Return when an answer is expected to end, in epoch seconds."""
    if request.route.kind is RouteKind.STREAM and now >= schedule.last_stream_at:
        # Unlike a call, a stream that has begun can't get another final answer, and the
        # durations of others don't bound its own.
        return math.inf
    is_early = now < schedule.closes_idle_at
    deviations = LIKELY_DEVIATIONS if is_early else SURE_DEVIATIONS
    return now + expected_duration_s(request, durations, deviations)


def expected_duration_s(
    request: RoutedRequest, durations: UsualDurations, deviations: float
) -> float:
    """Return how long an answer takes, by those before it or else by the objectives."""
    route = request.route
    tokens = output_tokens(request)
    measured_s = durations.estimate_s(route.name, tokens, deviations)
    if measured_s is not None:
        return measured_s
    return route.objective_s + tokens * route.gap_objective_s


def output_tokens(request: RoutedRequest) -> int:
    """Return the most output tokens of a stream, or 0 for another answer."""
    prompt = request.envelope.prompt
    if prompt is None or request.route.kind is not RouteKind.STREAM:
        return 0
    return prompt.max_output_tokens
