"""Start-time fair queueing between organisations, with short work on credit."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from agatehoist.admission.flow import Flow
from agatehoist.admission.order import ORDERS, Pick
from agatehoist.admission.types import BACKGROUND_PRIORITY, Ahead
from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.admission.types import Job, LongSlots, SchedulerLimits, Waiting


@ORDERS.register("fair")
class FairOrder:
    """Start the organisation that has had least, and short work before long.

    Short work goes ahead while its organisation is less than the credit ahead of
    the one that has had least of those that queue. Every ageing period one turn
    follows the base order, and long work that has aged goes before the short work
    of its own organisation.
    """

    def __init__(self, limits: SchedulerLimits) -> None:
        self._limits = limits
        self._flows_by_organisation: dict[str, Flow] = {}
        self._count = 0
        self._virtual_time = 0.0
        self._base_turn_at = math.inf
        self._all_heap: list[tuple[float, str]] = []
        self._shorts_heap: list[tuple[float, str]] = []
        self._idle_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return self._count

    @property
    def organisation_count(self) -> int:
        """Return the organisations that take memory."""
        return len(self._flows_by_organisation)

    @property
    def _floor(self) -> float:
        return self._virtual_time - self._limits.idle_credit_tokens

    def push(self, waiting: Waiting, now: float, first: bool = False) -> None:
        """Queue a job, at the front of its organisation if asked."""
        name = waiting.job.organisation
        flow = self._flows_by_organisation.get(name)
        if flow is None:
            flow = Flow(self._floor)
            self._flows_by_organisation[name] = flow
        flow.virtual_time = max(flow.virtual_time, self._floor)
        flow.push(waiting, first, self._limits.ageing_s)
        self._count += 1
        if self._base_turn_at == math.inf:
            self._base_turn_at = now + self._limits.ageing_s
        self._enter(name, flow)

    def select(self, now: float, long_slots: LongSlots) -> Pick | None:
        """Return the job whose turn it is, if any."""
        picks = (self._pick_on_credit, self._pick_in_base_order)
        if now >= self._base_turn_at:
            picks = (self._pick_in_base_order, self._pick_on_credit)
        return picks[0](now, long_slots) or picks[1](now, long_slots)

    def commit(self, pick: Pick, now: float) -> None:
        """Remove a picked job and charge its organisation."""
        waiting = pick.waiting
        flow = self._flows_by_organisation[waiting.job.organisation]
        least = self._least(self._all_heap, len)
        assert least is not None
        self._virtual_time = max(self._virtual_time, least.virtual_time)
        if pick.in_base_order:
            self._base_turn_at = now + self._limits.ageing_s
        flow.start(waiting, now, self._limits.ageing_s)
        flow.charge(waiting.cost_tokens)
        self._leave(waiting.job.organisation, flow)

    def remove(self, waiting: Waiting) -> None:
        """Remove a job without a charge."""
        flow = self._flows_by_organisation[waiting.job.organisation]
        flow.remove(waiting)
        self._leave(waiting.job.organisation, flow)

    def correct(self, job: Job, tokens: float) -> None:
        """Charge what a job cost above the expectation, or less."""
        organisation = job.organisation
        flow = self._flows_by_organisation.get(organisation)
        if flow is None:
            flow = Flow(self._floor)
            flow.weight = job.fair_weight
            self._flows_by_organisation[organisation] = flow
        flow.charge(tokens)
        flow.virtual_time = max(flow.virtual_time, self._floor)
        self._enter(organisation, flow)

    def ahead(self, organisation: str, priority: Priority) -> Ahead:
        """Return the queued work that would run before a new job."""
        flow = self._flows_by_organisation.get(organisation, Flow(self._floor))
        start = max(flow.virtual_time, self._floor)
        start += sum(each.cost_tokens for each in flow.queues(priority)) / flow.weight
        prefill_tokens = jobs = 0.0
        for name, other in self._flows_by_organisation.items():
            share = 1.0 if name == organisation else _share_before(other, start)
            for queue in other.queues(priority) if share else ():
                prefill_tokens += share * queue.prefill_tokens
                jobs += share * len(queue)
        return Ahead(prefill_tokens, jobs)

    def endpoint_priority(self, organisation: str, priority: Priority) -> int:
        """Return the priority at the endpoint of a job that starts now.

        Long work of an organisation without credit gives way to all other work.
        """
        flow = self._flows_by_organisation.get(organisation, Flow(self._floor))
        return self._endpoint_priority(flow, priority)

    def newest_of_longest(self) -> Waiting | None:
        """Return the newest job of the organisation that queues most by weight."""
        flows = self._flows_by_organisation.values()
        flow = max(flows, key=lambda each: len(each) / each.weight, default=None)
        if flow is None or not len(flow):
            return None
        return flow.longs.newest if len(flow.longs) else flow.shorts.newest

    def reset(self) -> None:
        """Forget past charges, as when nothing is left to run."""
        if not self._count:
            self._flows_by_organisation.clear()
            for heap in (self._all_heap, self._shorts_heap, self._idle_heap):
                heap.clear()
            self._virtual_time = 0.0
            self._base_turn_at = math.inf

    def _endpoint_priority(self, flow: Flow, priority: Priority) -> int:
        if priority is Priority.LONG and flow.virtual_time >= self._virtual_time:
            return BACKGROUND_PRIORITY
        return priority

    def _pick_in_base_order(self, now: float, long_slots: LongSlots) -> Pick | None:
        flow = self._least(self._all_heap, len)
        if flow is None:
            return None
        waiting = flow.next_in_turn(now)
        priority = self._endpoint_priority(flow, waiting.job.priority)
        if priority == Priority.LONG and not long_slots.foreground:
            return None
        if priority == BACKGROUND_PRIORITY and not long_slots.background:
            return None
        return Pick(waiting, priority)

    def _pick_on_credit(self, now: float, long_slots: LongSlots) -> Pick | None:
        flow = self._least(self._shorts_heap, _count_shorts)
        if flow is None or now >= flow.aged_at:
            return None
        least = self._least(self._all_heap, len)
        assert least is not None
        if flow.virtual_time - least.virtual_time > self._limits.credit_tokens:
            return None
        return Pick(flow.shorts.oldest, Priority.SHORT, in_base_order=False)

    def _enter(self, name: str, flow: Flow) -> None:
        entry = (flow.virtual_time, name)
        if len(flow):
            heapq.heappush(self._all_heap, entry)
        else:
            heapq.heappush(self._idle_heap, entry)
        if len(flow.shorts):
            heapq.heappush(self._shorts_heap, entry)

    def _leave(self, name: str, flow: Flow) -> None:
        self._count -= 1
        if not self._count:
            self._base_turn_at = math.inf
        self._enter(name, flow)
        self._drop_idle()

    def _least(
        self, heap: list[tuple[float, str]], count: Callable[[Flow], int]
    ) -> Flow | None:
        while heap:
            virtual_time, name = heap[0]
            flow = self._flows_by_organisation.get(name)
            if flow is not None and flow.virtual_time == virtual_time and count(flow):
                return flow
            heapq.heappop(heap)
        return None

    def _drop_idle(self) -> None:
        heap = self._idle_heap
        while heap and heap[0][0] <= self._floor:
            _, name = heapq.heappop(heap)
            flow = self._flows_by_organisation.get(name)
            if flow is not None and not len(flow):
                self._settle_idle(name, flow)

    def _settle_idle(self, name: str, flow: Flow) -> None:
        # A flow that was charged since keeps its entry further up the heap.
        if flow.virtual_time <= self._floor:
            del self._flows_by_organisation[name]


def _share_before(flow: Flow, start: float) -> float:
    """Return the part of a flow's queue that runs before a virtual start."""
    jobs = len(flow)
    if not jobs or flow.virtual_time > start:
        return 0.0
    cost_tokens = flow.shorts.cost_tokens + flow.longs.cost_tokens
    if cost_tokens <= 0:
        return 1.0
    # The job that straddles the start runs before it.
    gap_tokens = (start - flow.virtual_time) * flow.weight + cost_tokens / jobs
    return min(1.0, gap_tokens / cost_tokens)


def _count_shorts(flow: Flow) -> int:
    return len(flow.shorts)
