"""One host of a replay: the sidecar's decisions beside an engine in memory."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Job as AdmittedJob
from agatehoist.admission.types import SchedulerLimits, Start, Usage
from agatehoist.cache.cache_index import CacheIndex
from agatehoist.cache.types import BlockListing, CacheEpoch, PromptReport
from agatehoist.core.identity import AttemptId, EndpointIdentity
from agatehoist.core.work import Priority
from agatehoist.placement.types import Candidate, Offer, PlacementRequest
from bench.replay.engine import (
    BLOCK_TOKENS,
    WEIGHTS_VERSION,
    Job,
    ReplayEngine,
    count_leading,
)
from bench.replay.trace import TraceRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.admission.types import Decision
    from agatehoist.cache.types import CacheEvent
    from bench.replay.timeline import Timeline
    from bench.replay.trace import Deployment

RESYNC_INTERVAL_S = 1.0
DEADLINE_S = 120.0
LISTING_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class Conditions:
    """Say how late and how gappy the reports of the engines are."""

    name: str = "exact"
    lag_s: float = 0.0
    event_loss: float = 0.0


@dataclass(frozen=True, slots=True)
class Placed:
    """Hold a request that was submitted to a host."""

    order: int
    request: TraceRequest
    question: PlacementRequest
    blocks: tuple[int, ...]
    on_first_token: Callable[[int], None]
    on_refused: Callable[[], None]
    on_lost: Callable[[], None]


class ReplayNode:
    """Answer probes and run prompts as a sidecar does."""

    def __init__(
        self,
        host: str,
        deployment: Deployment,
        timeline: Timeline,
        conditions: Conditions,
    ) -> None:
        self.candidate = Candidate(host, deployment.data_centre_of(host))
        self.up = True
        self.engine = ReplayEngine(deployment, timeline)
        self.engine.on_event = self._receive_event
        self.on_stored: Callable[[CacheEvent], None] = lambda _event: None
        self._prefill_tokens_per_s = deployment.prefill_tokens_per_s
        self._timeline = timeline
        self._conditions = conditions
        self._rng = random.Random(host)
        self._placed_by_id: dict[AttemptId, Placed] = {}
        self._pending_blocks: Counter[int] = Counter()
        self._resync_at = 0.0
        self._resyncing = False
        self._reported_tokens = 0
        self._forget()

    @property
    def identity(self) -> EndpointIdentity:
        """Return the identity that offers carry."""
        return EndpointIdentity("s", str(self.engine.run), WEIGHTS_VERSION)

    def offer(self, question: PlacementRequest, organisation: str) -> Offer:
        """Return what a probe is answered with."""
        matched_tokens = self.picture.matched_tokens(question.levels)
        missing_tokens = max(0, question.prompt_tokens - matched_tokens)
        estimate = self.scheduler.placement_estimate(
            missing_tokens, organisation, question.priority, question.levels
        )
        return Offer(self.candidate, self.identity, matched_tokens, estimate)

    def reported_offer(self, question: PlacementRequest) -> Offer:
        """Return an offer from the load that the engine last reported."""
        missing_s = question.prompt_tokens / self._prefill_tokens_per_s
        wait_s = self._reported_tokens / self._prefill_tokens_per_s
        return Offer(self.candidate, self.identity, 0, wait_s + missing_s)

    def perfect_offer(
        self, question: PlacementRequest, blocks: tuple[int, ...]
    ) -> Offer:
        """Return an offer from the engine's own cache and the whole queue."""
        matched_tokens = self.held_tokens(blocks)
        tokens = self._tokens_ahead(question.priority)
        tokens += question.prompt_tokens - matched_tokens
        estimate = tokens / self._prefill_tokens_per_s
        return Offer(self.candidate, self.identity, matched_tokens, estimate)

    def held_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the leading tokens that are cached or about to be."""
        return count_leading(blocks, self._has) * BLOCK_TOKENS

    def submit(self, placed: Placed) -> None:
        """Admit a prompt; the scheduler says when the engine gets it."""
        attempt_id = _attempt_id(placed)
        question = placed.question
        self.picture.expect(attempt_id, question.levels)
        held_tokens = self.picture.held_tokens(question.levels)
        job = AdmittedJob(
            attempt_id,
            placed.request.organisation,
            question.priority,
            placed.request.arrives_at + DEADLINE_S,
            question.prompt_tokens,
            max(0, question.prompt_tokens - held_tokens),
            placed.request.answer_tokens,
            question.levels,
        )
        self._placed_by_id[attempt_id] = placed
        self._pending_blocks.update(placed.blocks)
        self._apply(self.scheduler.submit(job, self._now()))

    def _apply(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            placed = self._placed_by_id[decision.attempt_id]
            if isinstance(decision, Start):
                self._start(placed, decision)
            else:
                self._withdraw(placed)
                self.picture.settle(decision.attempt_id)
                placed.on_refused()
        wake_at = self.scheduler.wake_at
        if wake_at is not None and wake_at != self._wake_at:
            self._wake_at = wake_at
            scheduler = self.scheduler
            self._timeline.at(
                max(wake_at, self._now()), lambda: self._tick(scheduler, wake_at)
            )

    def _tick(self, scheduler: Scheduler, wake_at: float) -> None:
        if scheduler is self.scheduler and wake_at == self._wake_at:
            self._wake_at = None
            self._apply(scheduler.tick(self._now()))

    def _start(self, placed: Placed, start: Start) -> None:
        attempt_id = start.attempt_id
        prompt_tokens = len(placed.blocks) * BLOCK_TOKENS
        answer_tokens = placed.request.answer_tokens

        def first_token(cached_tokens: int) -> None:
            self._withdraw(placed)
            placed.on_first_token(cached_tokens)
            self._apply(self.scheduler.first_token(attempt_id, self._now()))

        def end(cached_tokens: int) -> None:
            report = PromptReport(prompt_tokens, cached_tokens, placed.blocks)
            self.picture.record(attempt_id, report)
            self._resync_if_needed()
            usage = Usage(prompt_tokens - cached_tokens, answer_tokens)
            self._apply(self.scheduler.finish(attempt_id, self._now(), usage))

        self.engine.submit(
            Job(
                placed.order,
                start.endpoint_priority,
                placed.blocks,
                answer_tokens,
                first_token,
                end,
            )
        )

    def _withdraw(self, placed: Placed) -> None:
        del self._placed_by_id[_attempt_id(placed)]
        self._pending_blocks.subtract(placed.blocks)

    def _has(self, block: int) -> bool:
        return self.engine.holds(block) or self._pending_blocks[block] > 0

    def _tokens_ahead(self, priority: Priority) -> int:
        return sum(
            self.engine.missing_tokens(placed.order, placed.blocks)
            for placed in self._placed_by_id.values()
            if placed.question.priority <= priority
        )

    def _now(self) -> float:
        return self._timeline.clock.now()

    def crash(self) -> None:
        """Go down, and hand back the prompts that had no token yet."""
        self.up = False
        self.engine.crash()
        lost = tuple(self._placed_by_id.values())
        self._placed_by_id.clear()
        self._pending_blocks.clear()
        self._forget()
        for placed in lost:
            placed.on_lost()

    def come_back(self) -> None:
        """Take work again, with an empty engine."""
        self.up = True

    def load_report(self) -> Callable[[], None]:
        """Return the action that publishes the engine's present load."""
        tokens = self._tokens_ahead(Priority.LONG)

        def publish() -> None:
            self._reported_tokens = tokens

        return publish

    def _forget(self) -> None:
        self.picture = CacheIndex()
        self.picture.reset(self._epoch())
        self.scheduler = Scheduler(SchedulerLimits(), self.picture.held_tokens)
        self._wake_at: float | None = None

    def _epoch(self) -> CacheEpoch:
        return self.engine.epoch

    def _receive_event(self, event: CacheEvent) -> None:
        self.on_stored(event)
        if self._rng.random() < self._conditions.event_loss:
            return

        def apply() -> None:
            self.picture.apply(event)
            self._resync_if_needed()

        self._timeline.after(self._conditions.lag_s, apply)

    def _resync_if_needed(self) -> None:
        if not self.picture.resync_needed or self._resyncing:
            return
        self._resyncing = True
        now = self._timeline.clock.now()
        self._timeline.at(max(now, self._resync_at), self._request_listing)

    def _request_listing(self) -> None:
        listing = BlockListing(self._epoch(), *self.engine.listing())

        def take() -> None:
            self._resyncing = False
            self._resync_at = self._timeline.clock.now() + RESYNC_INTERVAL_S
            self.picture.resync(listing)

        self._timeline.after(LISTING_DELAY_S, take)


def _attempt_id(placed: Placed) -> AttemptId:
    return AttemptId("replay", placed.order)
