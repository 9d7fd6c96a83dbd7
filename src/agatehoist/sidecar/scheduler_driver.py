"""Connection of an endpoint's scheduler to the clock and to the waiting tasks."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager, nullcontext
from typing import TYPE_CHECKING

import anyio

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Job, Reject, SchedulerLimits, Start, Usage
from agatehoist.core.registry import Registry
from agatehoist.observability.metrics import QUEUED_JOBS, RUNNING_JOBS
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import NotStarted

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Sequence

    from agatehoist.admission.types import Decision
    from agatehoist.core.clock import Clock
    from agatehoist.core.identity import AttemptId
    from agatehoist.core.work import PrefixLevel, Priority
    from agatehoist.endpoints.types import EngineEnd
    from agatehoist.protocol.messages import SubmitCall, SubmitCompletion
    from agatehoist.settings.types import EndpointSettings

# Keeps the timer from firing just before the time that the scheduler asked for.
TIMER_MARGIN_S = 0.001

SCHEDULER_LIMITS_BY_KIND: Registry[Callable[[EndpointSettings], SchedulerLimits]] = (
    Registry("limits of endpoint kind")
)


class SchedulerDriver:
    """Pass events to the scheduler and let attempts wait for its decisions.

    held_tokens returns how many tokens of a prompt are cached; tokens that another
    attempt is computing don't count, unlike in CacheIndex.matched_tokens.
    """

    def __init__(
        self,
        settings: EndpointSettings,
        clock: Clock,
        held_tokens: Callable[[Sequence[PrefixLevel]], int],
    ) -> None:
        self._scheduler = Scheduler(
            SCHEDULER_LIMITS_BY_KIND[settings.kind](settings), held_tokens
        )
        self._clock = clock
        self._held_tokens = held_tokens
        self._handles_by_id: dict[AttemptId, JobHandle] = {}
        self._wake_at: float | None = None
        self._timer_changed = anyio.Event()

    def placement_estimate(
        self,
        missing_tokens: int,
        organisation: str,
        priority: Priority,
        levels: Sequence[PrefixLevel] = (),
    ) -> float:
        """Return the estimated seconds to the first token.

        It is at least the time that the prefills of the whole backlog need.
        """
        return self._scheduler.placement_estimate(
            missing_tokens, organisation, priority, levels
        )

    def report_running_jobs(self, running: int) -> None:
        """Report the endpoint's own count of running jobs, which may be out of date."""
        self._apply(self._scheduler.observe(running, self._clock.now()))

    @asynccontextmanager
    async def completion_slot(
        self, submit: SubmitCompletion
    ) -> AsyncIterator[JobHandle]:
        """Wait for a slot for a completion and hold it while the context lasts.

        Raises RequestRefusedError.
        """
        held_tokens = self._held_tokens(submit.levels)
        prompt_tokens = submit.work.prompt_tokens
        job = Job(
            submit.assignment.attempt_id,
            submit.assignment.organisation,
            submit.assignment.priority,
            submit.assignment.deadline,
            prompt_tokens,
            max(0, prompt_tokens - held_tokens),
            submit.work.max_tokens,
            submit.levels,
            submit.assignment.weight,  # the share of the organisation in fair order
        )
        async with self._hold_slot(job) as handle:
            yield handle

    @asynccontextmanager
    async def call_slot(
        self, submit: SubmitCall, wait_scope: anyio.CancelScope
    ) -> AsyncIterator[JobHandle]:
        """Wait for a slot for a service call and hold it while the context lasts.

        Raises RequestRefusedError, also if the scope is cancelled during the wait.
        """
        assignment = submit.assignment
        job = Job(
            assignment.attempt_id,
            assignment.organisation,
            assignment.priority,
            assignment.deadline,
            weight=assignment.weight,
        )
        async with self._hold_slot(job, wait_scope) as handle:
            yield handle

    async def run(self) -> None:
        """Call the scheduler at the times that it asks for, as when a job times out."""
        while True:
            timer_changed = self._timer_changed
            timeout_s = math.inf
            if self._wake_at is not None:
                timeout_s = max(0.0, self._wake_at - self._clock.now())
            with anyio.move_on_after(timeout_s + TIMER_MARGIN_S):
                await timer_changed.wait()
                continue
            self._apply(self._scheduler.tick(self._clock.now()))

    def note_first_token(self, attempt_id: AttemptId) -> None:
        """Report that the prefill of a job has ended."""
        self._apply(self._scheduler.first_token(attempt_id, self._clock.now()))

    def finish(self, attempt_id: AttemptId, usage: Usage | None = None) -> None:
        """Report that a job has ended or was cancelled."""
        self._apply(self._scheduler.finish(attempt_id, self._clock.now(), usage))

    @asynccontextmanager
    async def _hold_slot(
        self, job: Job, wait_scope: anyio.CancelScope | None = None
    ) -> AsyncIterator[JobHandle]:
        handle = JobHandle(self, job.attempt_id)
        self._handles_by_id[job.attempt_id] = handle
        try:
            self._apply(self._scheduler.submit(job, self._clock.now()))
            with wait_scope or nullcontext():
                await handle.wait_until_started()
            if wait_scope is not None and wait_scope.cancelled_caught:
                raise NotStarted.refuse("the attempt was cancelled before its start")
            yield handle
        finally:
            del self._handles_by_id[job.attempt_id]
            # Without effect on the job if report_end was called.
            self.finish(job.attempt_id)

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self._handles_by_id[decision.attempt_id].set_decision(decision)
        QUEUED_JOBS.set({}, self._scheduler.queued)
        RUNNING_JOBS.set({}, self._scheduler.running)
        wake_at = self._scheduler.wake_at
        if wake_at != self._wake_at:
            self._wake_at = wake_at
            self._timer_changed.set()
            self._timer_changed = anyio.Event()


class JobHandle:
    """Wait for the decision on one job and report its progress to the scheduler.

    A job is an attempt as the scheduler sees it.
    """

    def __init__(self, driver: SchedulerDriver, attempt_id: AttemptId) -> None:
        self.endpoint_priority = 0
        self.prefill_s = 0.0
        self._driver = driver
        self._attempt_id = attempt_id
        self._decision: Decision | None = None
        self._decided = anyio.Event()

    def set_decision(self, decision: Decision) -> None:
        """Store the scheduler's decision and wake the waiting task."""
        self._decision = decision
        self._decided.set()

    async def wait_until_started(self) -> None:
        """Return once the job may run.

        Raises RequestRefusedError.
        """
        await self._decided.wait()
        if isinstance(self._decision, Reject):
            raise RequestRefusedError(self._decision.refusal)
        assert isinstance(self._decision, Start)
        self.endpoint_priority = self._decision.endpoint_priority
        self.prefill_s = self._decision.prefill_s

    def report_first_token(self) -> None:
        """Report that the prefill has ended."""
        self._driver.note_first_token(self._attempt_id)

    def report_end(self, end: EngineEnd, answer_tokens: int) -> None:
        """Report the end of a complete answer and the tokens that were computed."""
        computed_tokens = end.prompt_tokens - end.cached_tokens
        self._driver.finish(self._attempt_id, Usage(computed_tokens, answer_tokens))


@SCHEDULER_LIMITS_BY_KIND.register("engine")
def _engine_limits(settings: EndpointSettings) -> SchedulerLimits:
    return SchedulerLimits(
        slots=settings.slots,
        prefill_slots=settings.prefill_slots,
        long_prefill_slots=settings.long_prefill_slots,
    )


@SCHEDULER_LIMITS_BY_KIND.register("service")
def _service_limits(settings: EndpointSettings) -> SchedulerLimits:
    # A call has no first token, so it holds a prefill slot until its end, and no prompt
    # prefix whose computation by another job it could wait for.
    slots = settings.slots
    return SchedulerLimits(slots, slots, slots, single_flight=False)
