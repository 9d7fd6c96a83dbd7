"""Simulated host: a sidecar's cache index and scheduler in front of an engine."""

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
    count_leading_blocks,
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
class ReportConditions:
    """Describe the delay of the engines' reports and the share of lost cache events."""

    name: str = "exact"
    report_delay_s: float = 0.0
    event_loss_share: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacedRequest:
    """Hold a request that was placed on a host, and the callbacks for its progress."""

    order: int
    request: TraceRequest
    placement_request: PlacementRequest
    blocks: tuple[int, ...]
    on_first_token: Callable[[int], None]
    on_refused: Callable[[], None]
    on_lost: Callable[[], None]


class ReplayNode:
    """Answer probes and run prompts like a host with a sidecar and its engine."""

    def __init__(
        self,
        host: str,
        deployment: Deployment,
        timeline: Timeline,
        conditions: ReportConditions,
    ) -> None:
        self.candidate = Candidate(host, deployment.data_centre_of(host))
        self.is_up = True
        self.engine = ReplayEngine(deployment, timeline)
        self.engine.on_event = self._receive_event
        self.on_stored: Callable[[CacheEvent], None] = lambda _event: None
        self._prefill_tokens_per_s = deployment.prefill_tokens_per_s
        self._timeline = timeline
        self._conditions = conditions
        self._rng = random.Random(host)
        self._placed_by_id: dict[AttemptId, PlacedRequest] = {}
        self._pending_blocks: Counter[int] = Counter()
        self._next_resync_at = 0.0
        self._resyncing = False
        self._reported_tokens = 0
        self._reset_state()

    @property
    def identity(self) -> EndpointIdentity:
        """Return the identity of the engine's current run."""
        return EndpointIdentity("s", str(self.engine.run), WEIGHTS_VERSION)

    def offer(self, placement_request: PlacementRequest, organisation: str) -> Offer:
        """Return the offer in the reply to a probe."""
        matched_tokens = self.cache_index.matched_tokens(placement_request.levels)
        missing_tokens = max(0, placement_request.prompt_tokens - matched_tokens)
        estimate = self.scheduler.placement_estimate(
            missing_tokens,
            organisation,
            placement_request.priority,
            placement_request.levels,
        )
        return Offer(self.candidate, self.identity, matched_tokens, estimate)

    def reported_offer(self, placement_request: PlacementRequest) -> Offer:
        """Return an offer estimated from the load that the engine last reported."""
        missing_s = placement_request.prompt_tokens / self._prefill_tokens_per_s
        wait_s = self._reported_tokens / self._prefill_tokens_per_s
        return Offer(self.candidate, self.identity, 0, wait_s + missing_s)

    def exact_offer(
        self, placement_request: PlacementRequest, blocks: tuple[int, ...]
    ) -> Offer:
        """Return an offer estimated from the actual cache and queue of the engine."""
        matched_tokens = self.held_tokens(blocks)
        tokens = self._tokens_ahead(placement_request.priority)
        tokens += placement_request.prompt_tokens - matched_tokens
        estimate = tokens / self._prefill_tokens_per_s
        return Offer(self.candidate, self.identity, matched_tokens, estimate)

    def held_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading tokens are cached or belong to a pending prompt."""
        return count_leading_blocks(blocks, self._is_cached_or_pending) * BLOCK_TOKENS

    def submit(self, placed: PlacedRequest) -> None:
        """Submit a prompt to the scheduler, which decides when the engine starts it."""
        attempt_id = _attempt_id(placed)
        placement_request = placed.placement_request
        self.cache_index.expect(attempt_id, placement_request.levels)
        held_tokens = self.cache_index.held_tokens(placement_request.levels)
        job = AdmittedJob(
            attempt_id,
            placed.request.organisation,
            placement_request.priority,
            placed.request.arrives_at + DEADLINE_S,
            placement_request.prompt_tokens,
            max(0, placement_request.prompt_tokens - held_tokens),
            placed.request.answer_tokens,
            placement_request.levels,
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
                self._remove(placed)
                self.cache_index.stop_expecting(decision.attempt_id)
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

    def _start(self, placed: PlacedRequest, start: Start) -> None:
        attempt_id = start.attempt_id
        prompt_tokens = len(placed.blocks) * BLOCK_TOKENS
        answer_tokens = placed.request.answer_tokens

        def first_token(cached_tokens: int) -> None:
            self._remove(placed)
            placed.on_first_token(cached_tokens)
            self._apply(self.scheduler.first_token(attempt_id, self._now()))

        def end(cached_tokens: int) -> None:
            report = PromptReport(prompt_tokens, cached_tokens, placed.blocks)
            self.cache_index.record(attempt_id, report)
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

    def _remove(self, placed: PlacedRequest) -> None:
        del self._placed_by_id[_attempt_id(placed)]
        self._pending_blocks.subtract(placed.blocks)

    def _is_cached_or_pending(self, block: int) -> bool:
        return self.engine.holds(block) or self._pending_blocks[block] > 0

    def _tokens_ahead(self, priority: Priority) -> int:
        return sum(
            self.engine.missing_tokens(placed.order, placed.blocks)
            for placed in self._placed_by_id.values()
            if placed.placement_request.priority <= priority
        )

    def _now(self) -> float:
        return self._timeline.clock.now()

    def crash(self) -> None:
        """Stop the engine, and call on_lost of each prompt without a first token."""
        self.is_up = False
        self.engine.crash()
        lost_requests = tuple(self._placed_by_id.values())
        self._placed_by_id.clear()
        self._pending_blocks.clear()
        self._reset_state()
        for placed in lost_requests:
            placed.on_lost()

    def restart(self) -> None:
        """Accept requests again, with an empty engine."""
        self.is_up = True

    def load_report(self) -> Callable[[], None]:
        """Return an action that publishes the load that the engine has now."""
        tokens = self._tokens_ahead(Priority.LONG)

        def publish() -> None:
            self._reported_tokens = tokens

        return publish

    def _reset_state(self) -> None:
        self.cache_index = CacheIndex()
        self.cache_index.reset(self._epoch())
        self.scheduler = Scheduler(SchedulerLimits(), self.cache_index.held_tokens)
        self._wake_at: float | None = None

    def _epoch(self) -> CacheEpoch:
        return self.engine.epoch

    def _receive_event(self, event: CacheEvent) -> None:
        self.on_stored(event)
        if self._rng.random() < self._conditions.event_loss_share:
            return

        def apply() -> None:
            self.cache_index.apply(event)
            self._resync_if_needed()

        self._timeline.after(self._conditions.report_delay_s, apply)

    def _resync_if_needed(self) -> None:
        if not self.cache_index.resync_needed or self._resyncing:
            return
        self._resyncing = True
        now = self._timeline.clock.now()
        self._timeline.at(max(now, self._next_resync_at), self._request_listing)

    def _request_listing(self) -> None:
        listing = BlockListing(self._epoch(), *self.engine.listing())

        def apply_listing() -> None:
            self._resyncing = False
            self._next_resync_at = self._timeline.clock.now() + RESYNC_INTERVAL_S
            self.cache_index.resync(listing)

        self._timeline.after(LISTING_DELAY_S, apply_listing)


def _attempt_id(placed: PlacedRequest) -> AttemptId:
    return AttemptId("replay", placed.order)
