"""Registry of the orders in which queued jobs start."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from agatehoist.admission.types import WaitingJob, WorkAhead
from agatehoist.core.registry import Registry
from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from agatehoist.admission.types import Job, LongSlots, SchedulerLimits
    from agatehoist.core.identity import AttemptId


@dataclass(frozen=True, slots=True)
class Pick:
    """Hold the next job, its priority at the endpoint and whether it was next in order.

    in_base_order is false for a short job that starts ahead of the job that is next
    by fair queueing.
    """

    waiting: WaitingJob
    endpoint_priority: int
    in_base_order: bool = True


class QueueOrder(Protocol):
    """Keep queued jobs in the order in which they start."""

    def __init__(self, limits: SchedulerLimits) -> None: ...

    def __len__(self) -> int: ...

    def push(self, waiting: WaitingJob, now: float, first: bool = False) -> None:
        """Queue a job, at the front of its organisation's queue if `first`."""

    def select(self, now: float, long_slots: LongSlots) -> Pick | None:
        """Return the next job that may start, if any."""

    def commit(self, pick: Pick, now: float) -> None:
        """Remove a picked job and charge its expected cost to its organisation."""

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job without a charge."""

    def correct_charge(self, job: Job, tokens: float) -> None:
        """Charge a correction in tokens, maybe negative, to a job's organisation."""

    def ahead(self, organisation: str, priority: Priority) -> WorkAhead:
        """Return the queued work that would run before a new job."""

    def endpoint_priority(self, organisation: str, priority: Priority) -> int:
        """Return the priority that the endpoint gets for a job that starts now.

        The endpoint computes lower values first.
        """

    def newest_of_longest_queue(self) -> WaitingJob | None:
        """Return the newest job of the organisation with the longest queue.

        It is refused in place of a new job of another organisation when the queue is
        full.
        """

    def reset(self) -> None:
        """Forget past charges; called when no job is queued or running."""


ORDERS: Registry[type[QueueOrder]] = Registry("queue order")


@ORDERS.register("arrival")
class ArrivalOrder:
    """Start jobs in order of arrival; a baseline for comparison."""

    def __init__(self, limits: SchedulerLimits) -> None:
        self._waiting_by_id: OrderedDict[AttemptId, WaitingJob] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def push(self, waiting: WaitingJob, now: float, first: bool = False) -> None:
        """Queue a job, at the front of all jobs if `first`."""
        attempt_id = waiting.job.attempt_id
        self._waiting_by_id[attempt_id] = waiting
        if first:
            self._waiting_by_id.move_to_end(attempt_id, last=False)

    def select(self, now: float, long_slots: LongSlots) -> Pick | None:
        """Return the oldest job unless it is long and no long slot is free."""
        for waiting in self._waiting_by_id.values():
            priority = waiting.job.priority
            if priority is Priority.LONG and not long_slots.foreground_free:
                return None
            return Pick(waiting, priority)
        return None

    def commit(self, pick: Pick, now: float) -> None:
        """Remove a picked job; nothing is charged."""
        self.remove(pick.waiting)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job."""
        del self._waiting_by_id[waiting.job.attempt_id]

    def correct_charge(self, job: Job, tokens: float) -> None:
        """Do nothing, as this order keeps no charges."""

    def ahead(self, organisation: str, priority: Priority) -> WorkAhead:
        """Return all queued work."""
        queued = self._waiting_by_id.values()
        return WorkAhead(sum(each.job.missing_tokens for each in queued), len(queued))

    def endpoint_priority(self, organisation: str, priority: Priority) -> int:
        """Return the job's own priority."""
        return priority

    def newest_of_longest_queue(self) -> WaitingJob | None:
        """Return the newest job."""
        return next(reversed(self._waiting_by_id.values()), None)

    def reset(self) -> None:
        """Do nothing, as this order keeps no charges."""
