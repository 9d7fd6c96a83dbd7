"""Discrete-event simulation of one engine behind the admission scheduler."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Job, Start, Usage
from agatehoist.core.identity import AttemptId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from agatehoist.admission.types import Decision, SchedulerLimits
    from agatehoist.core.work import PrefixLevel


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Describe the engine's speed; a prefill chunk that runs isn't preempted."""

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 50.0
    chunk_tokens: float = 2_048.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold a job with its arrival time in seconds and the length of its answer."""

    arrives_at: float
    job: Job
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold the result of an arrival; a refused one has no first token."""

    arrival: Arrival
    ttft_estimate: float = 0.0
    started_at: float | None = None
    first_token_at: float | None = None
    ended_at: float | None = None
    computed_tokens: int = 0
    refusal: str | None = None

    @property
    def ttft(self) -> float | None:
        """Return the time to first token in seconds."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.arrives_at


@dataclass(slots=True)
class _Prefill:
    attempt_id: AttemptId
    priority: int
    sequence: int
    remaining_tokens: float


class VirtualEngine:
    """Run arrivals through the scheduler and a simulated engine in virtual time."""

    def __init__(self, limits: SchedulerLimits, model: EngineModel) -> None:
        self.now = 0.0
        self.outcomes_by_id: dict[AttemptId, Outcome] = {}
        self._model = model
        self._scheduler = Scheduler(limits, self._matched_tokens)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequences = itertools.count()
        self._cached_digests: set[bytes] = set()
        self._prefills: list[_Prefill] = []
        self._is_computing = False
        self._wake_at: float | None = None

    def run(self, arrivals: Iterable[Arrival]) -> list[Outcome]:
        """Process all events and return the outcome of each arrival."""
        for arrival in arrivals:
            self._schedule(
                arrival.arrives_at,
                lambda arrival=arrival: self._handle_arrival(arrival),
            )
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return list(self.outcomes_by_id.values())

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequences), event))

    def _matched_tokens(self, levels: Sequence[PrefixLevel]) -> int:
        cached = [each.tokens for each in levels if each.digest in self._cached_digests]
        return max(cached, default=0)

    def _handle_arrival(self, arrival: Arrival) -> None:
        job = arrival.job
        missing_tokens = job.prompt_tokens - self._matched_tokens(job.levels)
        job = replace(job, missing_tokens=missing_tokens)
        estimate = self._scheduler.ttft_estimate(
            missing_tokens, job.organisation, job.priority, job.levels
        )
        self.outcomes_by_id[job.attempt_id] = Outcome(arrival, estimate)
        self._apply(self._scheduler.submit(job, self.now))

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(decision.attempt_id, decision.endpoint_priority)
            else:
                self._update(decision.attempt_id, refusal=decision.refusal.code)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        wake_at = self._scheduler.wake_at
        if wake_at is None or wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        self._schedule(max(wake_at, self.now), self._wake)

    def _wake(self) -> None:
        if self._wake_at is None or self.now < self._wake_at:
            return
        self._wake_at = None
        self._apply(self._scheduler.tick(self.now))

    def _start(self, attempt_id: AttemptId, priority: int) -> None:
        job = self.outcomes_by_id[attempt_id].arrival.job
        computed = job.prompt_tokens - self._matched_tokens(job.levels)
        self._update(attempt_id, started_at=self.now, computed_tokens=computed)
        sequence = next(self._sequences)
        self._prefills.append(_Prefill(attempt_id, priority, sequence, computed))
        if not self._is_computing:
            self._start_chunk()

    def _start_chunk(self) -> None:
        prefill = min(self._prefills, key=lambda each: (each.priority, each.sequence))
        tokens = min(prefill.remaining_tokens, self._model.chunk_tokens)
        prefill.remaining_tokens -= tokens
        self._is_computing = True
        ends_at = self.now + tokens / self._model.prefill_tokens_per_s
        self._schedule(ends_at, lambda: self._finish_chunk(prefill))

    def _finish_chunk(self, prefill: _Prefill) -> None:
        self._is_computing = False
        if prefill.remaining_tokens <= 0:
            self._prefills.remove(prefill)
            self._handle_first_token(prefill.attempt_id)
        if self._prefills and not self._is_computing:
            self._start_chunk()

    def _handle_first_token(self, attempt_id: AttemptId) -> None:
        arrival = self.outcomes_by_id[attempt_id].arrival
        self._cached_digests.update(each.digest for each in arrival.job.levels)
        self._update(attempt_id, first_token_at=self.now)
        ends_at = self.now + arrival.answer_tokens / self._model.decode_tokens_per_s
        self._schedule(ends_at, lambda: self._finish_answer(attempt_id))
        self._apply(self._scheduler.first_token(attempt_id, self.now))

    def _finish_answer(self, attempt_id: AttemptId) -> None:
        outcome = self._update(attempt_id, ended_at=self.now)
        usage = Usage(outcome.computed_tokens, outcome.arrival.answer_tokens)
        self._apply(self._scheduler.finish(attempt_id, self.now, usage))

    def _update(self, attempt_id: AttemptId, **fields: object) -> Outcome:
        outcome = replace(self.outcomes_by_id[attempt_id], **fields)  # type: ignore[arg-type]
        self.outcomes_by_id[attempt_id] = outcome
        return outcome
