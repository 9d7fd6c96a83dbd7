"""Jobs that hold a slot of the endpoint."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from agatehoist.admission.load import AdmittedLoad
from agatehoist.admission.types import BACKGROUND_PRIORITY, LongSlots, Usage, Waiting
from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from agatehoist.admission.rates import LearnedRates
    from agatehoist.core.identity import AttemptId

LOAD_REPORT_LAG_S = 2.0


@dataclass(frozen=True, slots=True)
class RunningJob:
    """Hold when a job started and when its first token came."""

    waiting: Waiting
    endpoint_priority: int
    started_at: float
    first_token_at: float | None = None
    prefill_s: float = 0.0


class RunningJobs:
    """Count the jobs that run and learn the endpoint's rates from them."""

    def __init__(self, rates: LearnedRates) -> None:
        self.load = AdmittedLoad()
        self._rates = rates
        self._jobs_by_id: dict[AttemptId, RunningJob] = {}
        self._prefills_by_priority: Counter[int] = Counter()
        self._last_first_token_at = 0.0
        self._foreign = 0
        self._counts: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        return len(self._jobs_by_id)

    @property
    def foreign(self) -> int:
        """Return the jobs on the endpoint that others gave it."""
        return self._foreign

    def long_slots(self, limit: int) -> LongSlots:
        """Return whether more long prefills may start under the limit."""
        foreground = self._prefills_by_priority[Priority.LONG]
        background = self._prefills_by_priority[BACKGROUND_PRIORITY]
        return LongSlots(foreground < limit, foreground + background < limit)

    def start(self, waiting: Waiting, endpoint_priority: int, now: float) -> None:
        """Note that a job holds a slot."""
        attempt_id = waiting.job.attempt_id
        self._jobs_by_id[attempt_id] = RunningJob(waiting, endpoint_priority, now)
        self.load.admit(attempt_id, waiting.job.missing_tokens)
        self._prefills_by_priority[endpoint_priority] += 1
        self._note_count(now)

    def first_token(self, attempt_id: AttemptId, now: float) -> RunningJob | None:
        """Note that the prefill of a job has ended, if it was under way."""
        running = self._jobs_by_id.get(attempt_id)
        if running is None or not self._end_prefill(running):
            return None
        began_at = max(running.started_at, self._last_first_token_at)
        self._last_first_token_at = now
        running = replace(running, first_token_at=now, prefill_s=now - began_at)
        self._jobs_by_id[attempt_id] = running
        return running

    def finish(
        self, attempt_id: AttemptId, usage: Usage | None, now: float
    ) -> RunningJob | None:
        """Free the slot of a job and learn from its usage."""
        running = self._jobs_by_id.pop(attempt_id, None)
        if running is None:
            return None
        self._end_prefill(running)
        self._note_count(now)
        if usage is not None:
            self._learn(running, usage, now)
        return running

    def pending_tokens(self, endpoint_priority: int) -> int:
        """Return the prompt tokens that the endpoint computes before new work."""
        return sum(
            running.waiting.job.missing_tokens
            for running in self._jobs_by_id.values()
            if running.first_token_at is None
            and running.endpoint_priority <= endpoint_priority
        )

    def observe(self, running: int, now: float) -> None:
        """Take the endpoint's own count of jobs, which lags.

        Only what is above every recent count of ours is the work of others.
        """
        while len(self._counts) > 1 and self._counts[1][0] < now - LOAD_REPORT_LAG_S:
            self._counts.popleft()
        own = max((count for _, count in self._counts), default=0)
        self._foreign = max(0, running - own)

    def _end_prefill(self, running: RunningJob) -> bool:
        attempt_id = running.waiting.job.attempt_id
        if attempt_id not in self.load:
            return False
        self.load.settle(attempt_id)
        self._prefills_by_priority[running.endpoint_priority] -= 1
        return True

    def _learn(self, running: RunningJob, usage: Usage, now: float) -> None:
        self._rates.learn_hold(now - running.started_at)
        if running.first_token_at is not None:
            self._rates.learn_prefill(usage.computed_tokens, running.prefill_s)
            elapsed = now - running.first_token_at
            self._rates.learn_answer(usage.answer_tokens, elapsed)

    def _note_count(self, now: float) -> None:
        self._counts.append((now, len(self._jobs_by_id)))
        while len(self._counts) > 1 and self._counts[1][0] < now - LOAD_REPORT_LAG_S:
            self._counts.popleft()
