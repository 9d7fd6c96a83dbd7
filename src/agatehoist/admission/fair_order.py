"""Start-time fair queueing between organisations; short jobs may start out of turn."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from agatehoist.admission.flow import Flow
from agatehoist.admission.order import ORDERS, Pick
from agatehoist.admission.types import BACKGROUND_PRIORITY, WorkAhead
from agatehoist.core.work import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.admission.types import Job, LongSlots, SchedulerLimits, WaitingJob


@ORDERS.register("fair")
class FairOrder:
    """Start jobs of the organisation with the least virtual time, short ones first.

    This is the base order. Short jobs may be started ahead of it while the virtual
    time of their organisation exceeds the least one of the organisations with queued
    jobs by no more than credit_tokens. Once every ageing period a job is started in
    the base order, and a long job that has aged is started before the short jobs of
    its own organisation.
    """

    def __init__(self, limits: SchedulerLimits) -> None:
        self._limits = limits
        self._flows_by_organisation: dict[str, Flow] = {}
        self._count = 0
        self._virtual_time = 0.0
        self._base_order_due_at = math.inf
        self._all_heap: list[tuple[float, str]] = []
        self._short_jobs_heap: list[tuple[float, str]] = []
        self._idle_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return self._count

    @property
    def organisation_count(self) -> int:
        """Return the number of organisations that are kept in memory."""
        return len(self._flows_by_organisation)

    @property
    def _virtual_time_floor(self) -> float:
        """Return the least virtual time of an organisation, however long it was idle.

        An organisation that was idle can thus be behind by idle_credit_tokens at most.
        """
        return self._virtual_time - self._limits.idle_credit_tokens

    def push(self, waiting: WaitingJob, now: float, first: bool = False) -> None:
        """Queue a job, at the front of its organisation if asked."""
        name = waiting.job.organisation
        flow = self._flows_by_organisation.get(name)
        if flow is None:
            flow = Flow(self._virtual_time_floor)
            self._flows_by_organisation[name] = flow
        flow.virtual_time = max(flow.virtual_time, self._virtual_time_floor)
        flow.push(waiting, first, self._limits.ageing_s)
        self._count += 1
        if self._base_order_due_at == math.inf:
            self._base_order_due_at = now + self._limits.ageing_s
        self._index_flow(name, flow)

    def select(self, now: float, long_slots: LongSlots) -> Pick | None:
        """Return the next job that may start, if any."""
        picks = (self._pick_on_credit, self._pick_in_base_order)
        if now >= self._base_order_due_at:
            picks = (self._pick_in_base_order, self._pick_on_credit)
        return picks[0](now, long_slots) or picks[1](now, long_slots)

    def commit(self, pick: Pick, now: float) -> None:
        """Remove a picked job and charge its expected cost to its organisation."""
        waiting = pick.waiting
        flow = self._flows_by_organisation[waiting.job.organisation]
        least = self._least_served(self._all_heap, len)
        assert least is not None
        self._virtual_time = max(self._virtual_time, least.virtual_time)
        if pick.in_base_order:
            self._base_order_due_at = now + self._limits.ageing_s
        flow.start(waiting, now, self._limits.ageing_s)
        flow.charge(waiting.cost_tokens)
        self._after_removal(waiting.job.organisation, flow)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job without a charge."""
        flow = self._flows_by_organisation[waiting.job.organisation]
        flow.remove(waiting)
        self._after_removal(waiting.job.organisation, flow)

    def correct_charge(self, job: Job, tokens: float) -> None:
        """Charge a correction in tokens, maybe negative, to a job's organisation."""
        organisation = job.organisation
        flow = self._flows_by_organisation.get(organisation)
        if flow is None:
            flow = Flow(self._virtual_time_floor)
            flow.weight = job.fair_weight
            self._flows_by_organisation[organisation] = flow
        flow.charge(tokens)
        flow.virtual_time = max(flow.virtual_time, self._virtual_time_floor)
        self._index_flow(organisation, flow)

    def ahead(self, organisation: str, priority: Priority) -> WorkAhead:
        """Return the queued work that would run before a new job."""
        flow = self._flows_by_organisation.get(
            organisation, Flow(self._virtual_time_floor)
        )
        start = max(flow.virtual_time, self._virtual_time_floor)
        start += sum(each.cost_tokens for each in flow.queues(priority)) / flow.weight
        prefill_tokens = jobs = 0.0
        for name, other in self._flows_by_organisation.items():
            share = 1.0 if name == organisation else _fraction_before(other, start)
            for queue in other.queues(priority) if share else ():
                prefill_tokens += share * queue.prefill_tokens
                jobs += share * len(queue)
        return WorkAhead(prefill_tokens, jobs)

    def endpoint_priority(self, organisation: str, priority: Priority) -> int:
        """Return the priority that the endpoint gets for a job that starts now.

        Long jobs of an organisation that has had at least its fair share run in the
        background, after all other jobs.
        """
        flow = self._flows_by_organisation.get(
            organisation, Flow(self._virtual_time_floor)
        )
        return self._endpoint_priority(flow, priority)

    def newest_of_longest_queue(self) -> WaitingJob | None:
        """Return the newest job of the organisation with most jobs for its weight."""
        flows = self._flows_by_organisation.values()
        flow = max(flows, key=lambda each: len(each) / each.weight, default=None)
        if flow is None or not len(flow):
            return None
        return flow.long_jobs.newest if len(flow.long_jobs) else flow.short_jobs.newest

    def reset(self) -> None:
        """Forget past charges if no job is queued."""
        if not self._count:
            self._flows_by_organisation.clear()
            for heap in (self._all_heap, self._short_jobs_heap, self._idle_heap):
                heap.clear()
            self._virtual_time = 0.0
            self._base_order_due_at = math.inf

    def _endpoint_priority(self, flow: Flow, priority: Priority) -> int:
        if priority is Priority.LONG and flow.virtual_time >= self._virtual_time:
            return BACKGROUND_PRIORITY
        return priority

    def _pick_in_base_order(self, now: float, long_slots: LongSlots) -> Pick | None:
        flow = self._least_served(self._all_heap, len)
        if flow is None:
            return None
        waiting = flow.next_in_turn(now)
        priority = self._endpoint_priority(flow, waiting.job.priority)
        if priority == Priority.LONG and not long_slots.foreground_free:
            return None
        if priority == BACKGROUND_PRIORITY and not long_slots.background_free:
            return None
        return Pick(waiting, priority)

    def _pick_on_credit(self, now: float, long_slots: LongSlots) -> Pick | None:
        flow = self._least_served(self._short_jobs_heap, _count_short_jobs)
        if flow is None or now >= flow.aged_at:
            return None
        least = self._least_served(self._all_heap, len)
        assert least is not None
        if flow.virtual_time - least.virtual_time > self._limits.credit_tokens:
            return None
        return Pick(flow.short_jobs.oldest, Priority.SHORT, in_base_order=False)

    def _index_flow(self, name: str, flow: Flow) -> None:
        entry = (flow.virtual_time, name)
        if len(flow):
            heapq.heappush(self._all_heap, entry)
        else:
            heapq.heappush(self._idle_heap, entry)
        if len(flow.short_jobs):
            heapq.heappush(self._short_jobs_heap, entry)

    def _after_removal(self, name: str, flow: Flow) -> None:
        self._count -= 1
        if not self._count:
            self._base_order_due_at = math.inf
        self._index_flow(name, flow)
        self._drop_idle()

    def _least_served(
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
        while heap and heap[0][0] <= self._virtual_time_floor:
            _, name = heapq.heappop(heap)
            flow = self._flows_by_organisation.get(name)
            if flow is not None and not len(flow):
                self._remove_if_idle(name, flow)

    def _remove_if_idle(self, name: str, flow: Flow) -> None:
        # A flow that was charged in the meantime has a later entry in the heap.
        if flow.virtual_time <= self._virtual_time_floor:
            del self._flows_by_organisation[name]


def _fraction_before(flow: Flow, start: float) -> float:
    """Return the fraction of a flow's queue that runs before a virtual time."""
    jobs = len(flow)
    if not jobs or flow.virtual_time > start:
        return 0.0
    cost_tokens = flow.short_jobs.cost_tokens + flow.long_jobs.cost_tokens
    if cost_tokens <= 0:
        return 1.0
    # The job that is in progress at the virtual time counts as run before it.
    tokens_before = (start - flow.virtual_time) * flow.weight + cost_tokens / jobs
    return min(1.0, tokens_before / cost_tokens)


def _count_short_jobs(flow: Flow) -> int:
    return len(flow.short_jobs)
