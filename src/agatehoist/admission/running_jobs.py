"""Jobs that hold a slot on the endpoint."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from agatehoist.admission.pending_prefills import PendingPrefills
from agatehoist.admission.types import BACKGROUND_PRIORITY, LongSlots, Usage, WaitingJob
from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from agatehoist.admission.rates import LearnedRates
    from agatehoist.core.identity import AttemptId

# The endpoint's own count of running jobs may be this old.
LOAD_REPORT_LAG_S = 2.0


@dataclass(frozen=True, slots=True)
class RunningJob:
    """Describe a job that holds a slot; times are in epoch seconds.

    waiting is the job as it was when it left the queue. prefill_s is the measured time
    of its own prefill, without the prefills that the endpoint computed before it.
    """

    waiting: WaitingJob
    endpoint_priority: int
    started_at: float
    first_token_at: float | None = None
    prefill_s: float = 0.0


class RunningJobs:
    """Track the running jobs and update the endpoint's estimated rates."""

    def __init__(self, rates: LearnedRates) -> None:
        self.pending_prefills = PendingPrefills()
        self._rates = rates
        self._jobs_by_id: dict[AttemptId, RunningJob] = {}
        self._prefills_by_priority: Counter[int] = Counter()
        self._last_first_token_at = 0.0
        self._foreign_jobs = 0
        self._recent_counts: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        return len(self._jobs_by_id)

    @property
    def foreign_jobs(self) -> int:
        """Return the estimated number of running jobs of other processes."""
        return self._foreign_jobs

    def long_slots(self, limit: int) -> LongSlots:
        """Return which kinds of long prefill may start under a limit on their count."""
        foreground = self._prefills_by_priority[Priority.LONG]
        background = self._prefills_by_priority[BACKGROUND_PRIORITY]
        return LongSlots(foreground < limit, foreground + background < limit)

    def start(self, waiting: WaitingJob, endpoint_priority: int, now: float) -> None:
        """Give a slot to a job."""
        attempt_id = waiting.job.attempt_id
        self._jobs_by_id[attempt_id] = RunningJob(waiting, endpoint_priority, now)
        self.pending_prefills.add(attempt_id, waiting.job.missing_tokens)
        self._prefills_by_priority[endpoint_priority] += 1
        self._record_count(now)

    def first_token(self, attempt_id: AttemptId, now: float) -> RunningJob | None:
        """Record the end of a job's prefill; return None if it had none in progress."""
        running = self._jobs_by_id.get(attempt_id)
        if running is None or not self._end_prefill(running):
            return None
        # The endpoint is assumed to compute one prefill after another.
        began_at = max(running.started_at, self._last_first_token_at)
        self._last_first_token_at = now
        running = replace(running, first_token_at=now, prefill_s=now - began_at)
        self._jobs_by_id[attempt_id] = running
        return running

    def finish(
        self, attempt_id: AttemptId, usage: Usage | None, now: float
    ) -> RunningJob | None:
        """Free the slot of a job and update the rates from its usage."""
        running = self._jobs_by_id.pop(attempt_id, None)
        if running is None:
            return None
        self._end_prefill(running)
        self._record_count(now)
        if usage is not None:
            self._learn(running, usage, now)
        return running

    def pending_tokens(self, endpoint_priority: int) -> int:
        """Return the prompt tokens that are computed before new work of a priority."""
        return sum(
            running.waiting.job.missing_tokens
            for running in self._jobs_by_id.values()
            if running.first_token_at is None
            and running.endpoint_priority <= endpoint_priority
        )

    def update_foreign_jobs(self, running: int, now: float) -> None:
        """Estimate the jobs of other processes from the endpoint's own count.

        That count lags behind, so only its excess over the highest of the recent
        counts of this process's jobs is taken for jobs of others.
        """
        while (
            len(self._recent_counts) > 1
            and self._recent_counts[1][0] < now - LOAD_REPORT_LAG_S
        ):
            self._recent_counts.popleft()
        own = max((count for _, count in self._recent_counts), default=0)
        self._foreign_jobs = max(0, running - own)

    def _end_prefill(self, running: RunningJob) -> bool:
        attempt_id = running.waiting.job.attempt_id
        if attempt_id not in self.pending_prefills:
            return False
        self.pending_prefills.discard(attempt_id)
        self._prefills_by_priority[running.endpoint_priority] -= 1
        return True

    def _learn(self, running: RunningJob, usage: Usage, now: float) -> None:
        self._rates.learn_slot_hold(now - running.started_at)
        if running.first_token_at is not None:
            self._rates.learn_prefill(usage.computed_tokens, running.prefill_s)
            elapsed = now - running.first_token_at
            self._rates.learn_answer(usage.answer_tokens, elapsed)

    def _record_count(self, now: float) -> None:
        self._recent_counts.append((now, len(self._jobs_by_id)))
        while (
            len(self._recent_counts) > 1
            and self._recent_counts[1][0] < now - LOAD_REPORT_LAG_S
        ):
            self._recent_counts.popleft()
