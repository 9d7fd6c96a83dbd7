"""Runtime around the scheduler: work waits here for its turn."""

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

TIMER_MARGIN_S = 0.001

LIMITS: Registry[Callable[[EndpointSettings], SchedulerLimits]] = Registry(
    "limits of endpoint kind"
)


class Scheduling:
    """Hold work until the scheduler starts or refuses it."""

    def __init__(
        self,
        settings: EndpointSettings,
        clock: Clock,
        held_tokens: Callable[[Sequence[PrefixLevel]], int],
    ) -> None:
        self._scheduler = Scheduler(LIMITS[settings.kind](settings), held_tokens)
        self._clock = clock
        self._held_tokens = held_tokens
        self._turns_by_id: dict[AttemptId, Turn] = {}
        self._wake_at: float | None = None
        self._replanned = anyio.Event()

    def placement_estimate(
        self,
        missing_tokens: int,
        organisation: str,
        priority: Priority,
        levels: Sequence[PrefixLevel] = (),
    ) -> float:
        """Return the estimate for a probe in seconds, at least the whole backlog."""
        return self._scheduler.placement_estimate(
            missing_tokens, organisation, priority, levels
        )

    def observe(self, running: int) -> None:
        """Take the endpoint's own count of jobs, which lags."""
        self._apply(self._scheduler.observe(running, self._clock.now()))

    @asynccontextmanager
    async def completion_turn(self, submit: SubmitCompletion) -> AsyncIterator[Turn]:
        """Wait for the turn of a completion and hold its slot.

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
            submit.assignment.weight,
        )
        async with self._turn(job) as turn:
            yield turn

    @asynccontextmanager
    async def call_turn(
        self, submit: SubmitCall, waiting: anyio.CancelScope
    ) -> AsyncIterator[Turn]:
        """Wait for the turn of a service call, in the scope, and hold its slot.

        Raises RequestRefusedError.
        """
        assignment = submit.assignment
        job = Job(
            assignment.attempt_id,
            assignment.organisation,
            assignment.priority,
            assignment.deadline,
            weight=assignment.weight,
        )
        async with self._turn(job, waiting) as turn:
            yield turn

    async def run(self) -> None:
        """Act on the scheduler's stored deadlines."""
        while True:
            replanned = self._replanned
            timeout_s = math.inf
            if self._wake_at is not None:
                timeout_s = max(0.0, self._wake_at - self._clock.now())
            with anyio.move_on_after(timeout_s + TIMER_MARGIN_S):
                await replanned.wait()
                continue
            self._apply(self._scheduler.tick(self._clock.now()))

    def note_first_token(self, attempt_id: AttemptId) -> None:
        """Note that the prefill of a job has ended."""
        self._apply(self._scheduler.first_token(attempt_id, self._clock.now()))

    def finish(self, attempt_id: AttemptId, usage: Usage | None = None) -> None:
        """Note that a job has ended or is no longer wanted."""
        self._apply(self._scheduler.finish(attempt_id, self._clock.now(), usage))

    @asynccontextmanager
    async def _turn(
        self, job: Job, waiting: anyio.CancelScope | None = None
    ) -> AsyncIterator[Turn]:
        turn = Turn(self, job.attempt_id)
        self._turns_by_id[job.attempt_id] = turn
        try:
            self._apply(self._scheduler.submit(job, self._clock.now()))
            with waiting or nullcontext():
                await turn.wait()
            if waiting is not None and waiting.cancelled_caught:
                raise NotStarted.refuse("cancelled before the start")
            yield turn
        finally:
            del self._turns_by_id[job.attempt_id]
            self.finish(job.attempt_id)

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self._turns_by_id[decision.attempt_id].decide(decision)
        QUEUED_JOBS.set({}, self._scheduler.queued)
        RUNNING_JOBS.set({}, self._scheduler.running)
        wake_at = self._scheduler.wake_at
        if wake_at != self._wake_at:
            self._wake_at = wake_at
            self._replanned.set()
            self._replanned = anyio.Event()


class Turn:
    """Wait for the decision on one job and report how it goes."""

    def __init__(self, scheduling: Scheduling, attempt_id: AttemptId) -> None:
        self.endpoint_priority = 0
        self.prefill_s = 0.0
        self._scheduling = scheduling
        self._attempt_id = attempt_id
        self._decision: Decision | None = None
        self._decided = anyio.Event()

    def decide(self, decision: Decision) -> None:
        """Take the scheduler's decision."""
        self._decision = decision
        self._decided.set()

    async def wait(self) -> None:
        """Return once the job may run.

        Raises RequestRefusedError.
        """
        await self._decided.wait()
        if isinstance(self._decision, Reject):
            raise RequestRefusedError(self._decision.refusal)
        assert isinstance(self._decision, Start)
        self.endpoint_priority = self._decision.endpoint_priority
        self.prefill_s = self._decision.prefill_s

    def first_token(self) -> None:
        """Note that the answer has begun."""
        self._scheduling.note_first_token(self._attempt_id)

    def end(self, end: EngineEnd, answer_tokens: int) -> None:
        """Note that the answer is whole and what it cost."""
        computed_tokens = end.prompt_tokens - end.cached_tokens
        self._scheduling.finish(self._attempt_id, Usage(computed_tokens, answer_tokens))


@LIMITS.register("engine")
def _engine_limits(settings: EndpointSettings) -> SchedulerLimits:
    return SchedulerLimits(
        slots=settings.slots,
        prefill_slots=settings.prefill_slots,
        long_prefill_slots=settings.long_prefill_slots,
    )


@LIMITS.register("service")
def _service_limits(settings: EndpointSettings) -> SchedulerLimits:
    # A call has no first token, so it holds a prefill slot until its end.
    slots = settings.slots
    return SchedulerLimits(slots, slots, slots, single_flight=False)
