"""A virtual clock and one in-memory engine around the scheduler."""

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
    """Describe the engine; a chunk is computed without a change of order."""

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 50.0
    chunk_tokens: float = 2_048.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Bring a job with the length of its answer."""

    at: float
    job: Job
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """Say what became of an arrival; a refused one has no first token."""

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
        return self.first_token_at - self.arrival.at


@dataclass(slots=True)
class _Prefill:
    attempt_id: AttemptId
    priority: int
    sequence: int
    remaining_tokens: float


class VirtualEngine:
    """Run arrivals through a scheduler and an engine in virtual time."""

    def __init__(self, limits: SchedulerLimits, model: EngineModel) -> None:
        self.now = 0.0
        self.outcomes_by_id: dict[AttemptId, Outcome] = {}
        self._model = model
        self._scheduler = Scheduler(limits, self._matched_tokens)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequences = itertools.count()
        self._cached: set[bytes] = set()
        self._prefills: list[_Prefill] = []
        self._computing = False
        self._wake_at: float | None = None

    def run(self, arrivals: Iterable[Arrival]) -> list[Outcome]:
        """Return the outcomes once every arrival has ended."""
        for arrival in arrivals:
            self._at(arrival.at, lambda arrival=arrival: self._arrive(arrival))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return list(self.outcomes_by_id.values())

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequences), event))

    def _matched_tokens(self, levels: Sequence[PrefixLevel]) -> int:
        cached = [each.tokens for each in levels if each.digest in self._cached]
        return max(cached, default=0)

    def _arrive(self, arrival: Arrival) -> None:
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
        self._plan_wake()

    def _plan_wake(self) -> None:
        wake_at = self._scheduler.wake_at
        if wake_at is None or wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        self._at(max(wake_at, self.now), self._wake)

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
        if not self._computing:
            self._compute()

    def _compute(self) -> None:
        prefill = min(self._prefills, key=lambda each: (each.priority, each.sequence))
        tokens = min(prefill.remaining_tokens, self._model.chunk_tokens)
        prefill.remaining_tokens -= tokens
        self._computing = True
        ends_at = self.now + tokens / self._model.prefill_tokens_per_s
        self._at(ends_at, lambda: self._computed(prefill))

    def _computed(self, prefill: _Prefill) -> None:
        self._computing = False
        if prefill.remaining_tokens <= 0:
            self._prefills.remove(prefill)
            self._first_token(prefill.attempt_id)
        if self._prefills and not self._computing:
            self._compute()

    def _first_token(self, attempt_id: AttemptId) -> None:
        arrival = self.outcomes_by_id[attempt_id].arrival
        self._cached.update(each.digest for each in arrival.job.levels)
        self._update(attempt_id, first_token_at=self.now)
        ends_at = self.now + arrival.answer_tokens / self._model.decode_tokens_per_s
        self._at(ends_at, lambda: self._end(attempt_id))
        self._apply(self._scheduler.first_token(attempt_id, self.now))

    def _end(self, attempt_id: AttemptId) -> None:
        outcome = self._update(attempt_id, ended_at=self.now)
        usage = Usage(outcome.computed_tokens, outcome.arrival.answer_tokens)
        self._apply(self._scheduler.finish(attempt_id, self.now, usage))

    def _update(self, attempt_id: AttemptId, **fields: object) -> Outcome:
        outcome = replace(self.outcomes_by_id[attempt_id], **fields)  # type: ignore[arg-type]
        self.outcomes_by_id[attempt_id] = outcome
        return outcome
