"""Line of requests that wait until an endpoint has room for them.

It answers loads in which requests arrive faster than the endpoints process prompts, for
example while some endpoints are down: a request waits where it can still be reordered
or refused, not in the queue of an endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

# Imported to register the fair order.
import agatehoist.admission.fair_order  # noqa: F401
from agatehoist.admission.order import ORDERS
from agatehoist.admission.types import Job, LongSlots, SchedulerLimits, WaitingJob
from agatehoist.refusals.kinds import Overloaded

if TYPE_CHECKING:
    from agatehoist.admission.order import Pick
    from agatehoist.core.identity import AttemptId
    from agatehoist.refusals.types import Refusal

# A request starts where its first token is expected within this share of the time that
# is left until its objective; the rest is for errors of the estimate.
START_SHARE = 0.8
# A prompt that can't be read in time starts where it waits for less than this share of
# its objective.
MIN_WAIT_SHARE = 0.1
# An endpoint's wait shrinks no faster than the time to the objective, so a request that
# finds no room soon after its arrival finds none in time.
LINE_SHARE = 0.125
MAX_WAITING = 1024
# Callers follow a Retry-After of at most this share of the time that they have left.
RETRY_SHARE = 1 / 3
MIN_RETRY_DELAY_S = 0.2
# Returns are spread over at most this time.
MAX_SPREAD_S = 4.0

LINE_LIMITS = SchedulerLimits(max_queued=MAX_WAITING)
ANY_LONG_SLOT = LongSlots()


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Describe a request that asks to start at an endpoint.

    Its first token is due `objective_s` after `counted_from`; with an objective of 0 it
    may start anywhere. `read_s` is the time to read its prompt. `deadline` is that of
    its caller, who has `returned` if an earlier try was refused. The deadline of the
    job ends its wait in line.
    """

    job: Job
    objective_s: float
    counted_from: float
    read_s: float
    deadline: float
    returned: bool


def has_room(request: StartRequest, expected_wait_s: float, now: float) -> bool:
    """Return whether a request may start where prompts wait this long."""
    if not request.objective_s:
        return True
    left_s = request.counted_from + request.objective_s - now
    in_time_s = START_SHARE * left_s - request.read_s
    return expected_wait_s <= max(MIN_WAIT_SHARE * request.objective_s, in_time_s)


class ReturnTimes:
    """Give refused callers times to come back, in the order of their refusals.

    Each time is later than the one before by what the work of the caller takes.
    """

    def __init__(self) -> None:
        self._last_at = 0.0

    def next_at(
        self, deadline: float, work_s: float, now: float, room_at: float
    ) -> float:
        """Return when a caller may come back, early enough to use the time it has.

        Its deadline and `room_at`, when there is room again, are in epoch seconds.
        """
        first_at = max(now + MIN_RETRY_DELAY_S, room_at)
        latest_at = now + RETRY_SHARE * max(0.0, deadline - now)
        self._last_at = min(max(first_at, self._last_at + work_s), now + MAX_SPREAD_S)
        return min(self._last_at, latest_at)


class Line:
    """Keep waiting requests in fair order and refuse those that can't start in time."""

    def __init__(
        self, tokens_per_s: float, limits: SchedulerLimits = LINE_LIMITS
    ) -> None:
        self._tokens_per_s = tokens_per_s
        self._limits = limits
        self._order = ORDERS[limits.order](limits)
        self._waiting_by_id: dict[AttemptId, WaitingJob] = {}
        self._requests_by_id: dict[AttemptId, StartRequest] = {}
        self._return_times = ReturnTimes()
        self._pick: Pick | None = None

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    @property
    def is_full(self) -> bool:
        """Return whether no more requests may join."""
        return len(self) >= self._limits.max_queued

    def join(self, request: StartRequest, now: float) -> None:
        """Let a request wait.

        A caller that comes back after a refusal waits before new ones of its kind.
        """
        job = request.job
        waiting = WaitingJob(job, now, 0.0)
        self._waiting_by_id[job.attempt_id] = waiting
        self._requests_by_id[job.attempt_id] = request
        self._order.push(waiting, now, first=request.returned)

    def first(self, now: float) -> StartRequest | None:
        """Return the request that starts next, or None if none waits."""
        self._pick = self._order.select(now, ANY_LONG_SLOT)
        if self._pick is None:
            return None
        return self._requests_by_id[self._pick.waiting.job.attempt_id]

    def start_first(self, now: float) -> None:
        """Remove the request that `first` has just returned, as it starts."""
        assert self._pick is not None
        self._order.commit(self._pick, now)
        self._forget(self._pick.waiting.job.attempt_id)

    def leave(self, attempt_id: AttemptId) -> None:
        """Remove a request that has given up or that can't start in time any more."""
        waiting = self._waiting_by_id.get(attempt_id)
        if waiting is not None:
            self._order.remove(waiting)
            self._forget(attempt_id)

    def refuse(self, request: StartRequest, now: float, room_at: float) -> Refusal:
        """Return the refusal of a request that finds no room before `room_at`."""
        work_s = request.job.missing_tokens / self._tokens_per_s
        retry_at = self._return_times.next_at(request.deadline, work_s, now, room_at)
        return Overloaded.refuse("no endpoint has room in time", retry_at).refusal

    def _forget(self, attempt_id: AttemptId) -> None:
        del self._waiting_by_id[attempt_id]
        del self._requests_by_id[attempt_id]
        if not self._waiting_by_id:
            self._order.reset()
