"""One host of a replay: the sidecar's decisions beside an engine in memory."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.admission.load import AdmittedLoad
from agatehoist.cache.picture import CachePicture
from agatehoist.cache.types import BlockListing, CacheEpoch, PromptReport
from agatehoist.core.identity import AttemptId, EndpointIdentity
from agatehoist.core.work import Priority
from agatehoist.placement.types import Candidate, Offer, Question
from bench.replay.engine import BLOCK_TOKENS, WEIGHTS_VERSION, Job, ReplayEngine
from bench.replay.trace import TraceRequest

if TYPE_CHECKING:
    from agatehoist.cache.types import CacheEvent
    from bench.replay.timeline import Timeline
    from bench.replay.trace import Deployment

RESYNC_INTERVAL_S = 1.0
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
    question: Question
    blocks: tuple[int, ...]
    on_first_token: Callable[[int], None]
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
        self._placed_by_order: dict[int, Placed] = {}
        self._resync_at = 0.0
        self._resyncing = False
        self._reported_tokens = 0
        self._forget()

    @property
    def identity(self) -> EndpointIdentity:
        """Return the identity that offers carry."""
        return EndpointIdentity("s", str(self.engine.run), WEIGHTS_VERSION)

    def offer(self, question: Question) -> Offer:
        """Return what a probe is answered with."""
        matched_tokens = self.picture.matched_tokens(question.levels)
        missing_tokens = max(0, question.prompt_tokens - matched_tokens)
        estimate = self.load.ttft_estimate(missing_tokens)
        return Offer(self.candidate, self.identity, matched_tokens, estimate)

    def reported_offer(self, question: Question) -> Offer:
        """Return an offer from the load that the engine last reported."""
        missing_s = question.prompt_tokens / self._prefill_tokens_per_s
        wait_s = self._reported_tokens / self._prefill_tokens_per_s
        return Offer(self.candidate, self.identity, 0, wait_s + missing_s)

    def perfect_offer(self, question: Question, blocks: tuple[int, ...]) -> Offer:
        """Return an offer from the engine's own cache and queue."""
        matched_tokens = self.engine.held_tokens(blocks)
        tokens = self.engine.tokens_ahead(question.priority)
        tokens += question.prompt_tokens - matched_tokens
        estimate = tokens / self._prefill_tokens_per_s
        return Offer(self.candidate, self.identity, matched_tokens, estimate)

    def submit(self, placed: Placed) -> None:
        """Admit a prompt and hand it to the engine."""
        attempt_id = AttemptId("replay", placed.order)
        question = placed.question
        matched_tokens = self.picture.matched_tokens(question.levels)
        missing_tokens = max(0, question.prompt_tokens - matched_tokens)
        self.load.admit(attempt_id, missing_tokens)
        self.picture.expect(attempt_id, question.levels)
        self._placed_by_order[placed.order] = placed

        def first_token(cached_tokens: int) -> None:
            self.load.settle(attempt_id)
            del self._placed_by_order[placed.order]
            placed.on_first_token(cached_tokens)

        def end(cached_tokens: int) -> None:
            prompt_tokens = len(placed.blocks) * BLOCK_TOKENS
            report = PromptReport(prompt_tokens, cached_tokens, placed.blocks)
            self.picture.record(attempt_id, report)
            self._resync_if_needed()

        self.engine.submit(
            Job(
                placed.order,
                placed.request.priority,
                placed.blocks,
                placed.request.answer_tokens,
                first_token,
                end,
            )
        )

    def crash(self) -> None:
        """Go down, and hand back the prompts that had no token yet."""
        self.up = False
        self.engine.crash()
        lost = tuple(self._placed_by_order.values())
        self._placed_by_order.clear()
        self._forget()
        for placed in lost:
            placed.on_lost()

    def come_back(self) -> None:
        """Take work again, with an empty engine."""
        self.up = True

    def load_report(self) -> Callable[[], None]:
        """Return the action that publishes the engine's present load."""
        tokens = self.engine.tokens_ahead(Priority.LONG)

        def publish() -> None:
            self._reported_tokens = tokens

        return publish

    def _forget(self) -> None:
        self.load = AdmittedLoad()
        self.picture = CachePicture()
        self.picture.reset(self._epoch())

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
