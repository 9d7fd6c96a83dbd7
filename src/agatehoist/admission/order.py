"""Orders in which queued jobs start, by name."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from agatehoist.admission.types import Ahead, Waiting
from agatehoist.core.registry import Registry
from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from agatehoist.admission.types import Job, LongSlots, SchedulerLimits
    from agatehoist.core.identity import AttemptId


@dataclass(frozen=True, slots=True)
class Pick:
    """Name the next job and say whether its turn follows the base order."""

    waiting: Waiting
    endpoint_priority: int
    in_base_order: bool = True


class QueueOrder(Protocol):
    """Keep queued jobs in the order of their turns."""

    def __init__(self, limits: SchedulerLimits) -> None: ...

    def __len__(self) -> int: ...

    def push(self, waiting: Waiting, now: float, first: bool = False) -> None:
        """Queue a job, at the front of its organisation if asked."""

    def select(self, now: float, long_slots: LongSlots) -> Pick | None:
        """Return the job whose turn it is, if any."""

    def commit(self, pick: Pick, now: float) -> None:
        """Remove a picked job and charge its organisation."""

    def remove(self, waiting: Waiting) -> None:
        """Remove a job without a charge."""

    def correct(self, job: Job, tokens: float) -> None:
        """Charge what a job cost above the expectation, or less."""

    def ahead(self, organisation: str, priority: Priority) -> Ahead:
        """Return the queued work that would run before a new job."""

    def endpoint_priority(self, organisation: str, priority: Priority) -> int:
        """Return the priority at the endpoint of a job that starts now."""

    def newest_of_longest(self) -> Waiting | None:
        """Return the newest job of the organisation that queues most."""

    def reset(self) -> None:
        """Forget past charges, as when nothing is left to run."""


ORDERS: Registry[type[QueueOrder]] = Registry("queue order")


@ORDERS.register("arrival")
class ArrivalOrder:
    """Start jobs as they came; the baseline for comparison."""

    def __init__(self, limits: SchedulerLimits) -> None:
        self._waiting_by_id: OrderedDict[AttemptId, Waiting] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def push(self, waiting: Waiting, now: float, first: bool = False) -> None:
        """Queue a job, at the front if asked."""
        attempt_id = waiting.job.attempt_id
        self._waiting_by_id[attempt_id] = waiting
        if first:
            self._waiting_by_id.move_to_end(attempt_id, last=False)

    def select(self, now: float, long_slots: LongSlots) -> Pick | None:
        """Return the oldest job."""
        for waiting in self._waiting_by_id.values():
            priority = waiting.job.priority
            if priority is Priority.LONG and not long_slots.foreground:
                return None
            return Pick(waiting, priority)
        return None

    def commit(self, pick: Pick, now: float) -> None:
        """Remove a picked job."""
        self.remove(pick.waiting)

    def remove(self, waiting: Waiting) -> None:
        """Remove a job."""
        del self._waiting_by_id[waiting.job.attempt_id]

    def correct(self, job: Job, tokens: float) -> None:
        """Ignore the charge."""

    def ahead(self, organisation: str, priority: Priority) -> Ahead:
        """Return all queued work."""
        queued = self._waiting_by_id.values()
        return Ahead(sum(each.job.missing_tokens for each in queued), len(queued))

    def endpoint_priority(self, organisation: str, priority: Priority) -> int:
        """Return the job's own priority."""
        return priority

    def newest_of_longest(self) -> Waiting | None:
        """Return the newest job."""
        return next(reversed(self._waiting_by_id.values()), None)

    def reset(self) -> None:
        """Have nothing to forget."""
