"""Queue of one organisation in the fair order."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from agatehoist.admission.types import Waiting
    from agatehoist.core.identity import AttemptId


class JobQueue:
    """Keep jobs of one class in the order of arrival, with their sums."""

    def __init__(self) -> None:
        self.cost_tokens = 0.0
        self.prefill_tokens = 0
        self._waiting_by_id: OrderedDict[AttemptId, Waiting] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    @property
    def oldest(self) -> Waiting:
        """Return the job at the front."""
        return next(iter(self._waiting_by_id.values()))

    @property
    def newest(self) -> Waiting:
        """Return the job at the back."""
        return next(reversed(self._waiting_by_id.values()))

    def push(self, waiting: Waiting, first: bool) -> None:
        """Add a job at the back or the front."""
        attempt_id = waiting.job.attempt_id
        self._waiting_by_id[attempt_id] = waiting
        if first:
            self._waiting_by_id.move_to_end(attempt_id, last=False)
        self.cost_tokens += waiting.cost_tokens
        self.prefill_tokens += waiting.job.missing_tokens

    def remove(self, waiting: Waiting) -> None:
        """Remove a job."""
        del self._waiting_by_id[waiting.job.attempt_id]
        self.cost_tokens -= waiting.cost_tokens
        self.prefill_tokens -= waiting.job.missing_tokens


class Flow:
    """Hold the queues of one organisation and what it has been charged."""

    def __init__(self, virtual_time: float) -> None:
        self.virtual_time = virtual_time
        self.weight = 1.0
        self.aged_at = math.inf
        self.shorts = JobQueue()
        self.longs = JobQueue()

    def __len__(self) -> int:
        return len(self.shorts) + len(self.longs)

    def push(self, waiting: Waiting, first: bool, ageing_s: float) -> None:
        """Add a job and start the ageing of long work."""
        self.weight = waiting.job.fair_weight
        self._queue_of(waiting).push(waiting, first)
        if len(self.longs):
            self.aged_at = min(self.aged_at, waiting.arrived_at + ageing_s)

    def start(self, waiting: Waiting, now: float, ageing_s: float) -> None:
        """Remove a job that starts; the next long one ages from now on."""
        self.remove(waiting)
        if len(self.longs) and waiting.job.priority is Priority.LONG:
            self.aged_at = now + ageing_s

    def remove(self, waiting: Waiting) -> None:
        """Remove a job."""
        self._queue_of(waiting).remove(waiting)
        if not len(self.longs):
            self.aged_at = math.inf

    def charge(self, tokens: float) -> None:
        """Move the virtual time by a cost over the weight."""
        self.virtual_time += tokens / self.weight

    def queues(self, priority: Priority) -> tuple[JobQueue, ...]:
        """Return the queues that go before new work of a priority, or with it."""
        if priority is Priority.SHORT:
            return (self.shorts,)
        return (self.shorts, self.longs)

    def next_in_turn(self, now: float) -> Waiting:
        """Return short work unless long work has aged."""
        prefers_long = not len(self.shorts) or now >= self.aged_at
        if len(self.longs) and prefers_long:
            return self.longs.oldest
        return self.shorts.oldest

    def _queue_of(self, waiting: Waiting) -> JobQueue:
        return self.shorts if waiting.job.priority is Priority.SHORT else self.longs
