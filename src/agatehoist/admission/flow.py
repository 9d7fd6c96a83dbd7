"""Queues and charges of one organisation under fair queueing."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from agatehoist.admission.types import WaitingJob
    from agatehoist.core.identity import AttemptId


class JobQueue:
    """Keep jobs of one priority in order of arrival, with the sums of their tokens."""

    def __init__(self) -> None:
        self.cost_tokens = 0.0
        self.prefill_tokens = 0
        self._waiting_by_id: OrderedDict[AttemptId, WaitingJob] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    @property
    def oldest(self) -> WaitingJob:
        """Return the job at the front."""
        return next(iter(self._waiting_by_id.values()))

    @property
    def newest(self) -> WaitingJob:
        """Return the job at the back."""
        return next(reversed(self._waiting_by_id.values()))

    def push(self, waiting: WaitingJob, first: bool) -> None:
        """Add a job at the back, or at the front if asked."""
        attempt_id = waiting.job.attempt_id
        self._waiting_by_id[attempt_id] = waiting
        if first:
            self._waiting_by_id.move_to_end(attempt_id, last=False)
        self.cost_tokens += waiting.cost_tokens
        self.prefill_tokens += waiting.job.missing_tokens

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job."""
        del self._waiting_by_id[waiting.job.attempt_id]
        self.cost_tokens -= waiting.cost_tokens
        self.prefill_tokens -= waiting.job.missing_tokens


class Flow:
    """Hold the queues of one organisation and its virtual time.

    The virtual time is the sum of the charged tokens, each divided by the weight.
    From aged_at on, in epoch seconds, the oldest long job has aged and starts before
    the short jobs.
    """

    def __init__(self, virtual_time: float) -> None:
        self.virtual_time = virtual_time
        self.weight = 1.0
        self.aged_at = math.inf
        self.short_jobs = JobQueue()
        self.long_jobs = JobQueue()

    def __len__(self) -> int:
        return len(self.short_jobs) + len(self.long_jobs)

    def push(self, waiting: WaitingJob, first: bool, ageing_s: float) -> None:
        """Add a job and start the ageing of long jobs."""
        self.weight = waiting.job.fair_weight
        self._queue_of(waiting).push(waiting, first)
        if len(self.long_jobs):
            self.aged_at = min(self.aged_at, waiting.arrived_at + ageing_s)

    def start(self, waiting: WaitingJob, now: float, ageing_s: float) -> None:
        """Remove a job that starts; after a long one, restart the ageing."""
        self.remove(waiting)
        if len(self.long_jobs) and waiting.job.priority is Priority.LONG:
            self.aged_at = now + ageing_s

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job."""
        self._queue_of(waiting).remove(waiting)
        if not len(self.long_jobs):
            self.aged_at = math.inf

    def charge(self, tokens: float) -> None:
        """Advance the virtual time by the tokens divided by the weight."""
        self.virtual_time += tokens / self.weight

    def queues(self, priority: Priority) -> tuple[JobQueue, ...]:
        """Return the queues whose jobs start before a new job of a priority."""
        if priority is Priority.SHORT:
            return (self.short_jobs,)
        return (self.short_jobs, self.long_jobs)

    def next_in_turn(self, now: float) -> WaitingJob:
        """Return the oldest short job, or the oldest long one if it has aged."""
        prefers_long = not len(self.short_jobs) or now >= self.aged_at
        if len(self.long_jobs) and prefers_long:
            return self.long_jobs.oldest
        return self.short_jobs.oldest

    def _queue_of(self, waiting: WaitingJob) -> JobQueue:
        return (
            self.short_jobs
            if waiting.job.priority is Priority.SHORT
            else self.long_jobs
        )
