"""Replay of one trace under one policy."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import Priority
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import PlacementRequest
from agatehoist.protocol.codec import encode
from agatehoist.protocol.messages import Probe, ProbeReply
from bench.replay.block_imports import BlockImports
from bench.replay.engine import prompt_blocks
from bench.replay.metrics import MetricsCollector
from bench.replay.node import PlacedRequest, ReplayNode, ReportConditions
from bench.replay.policies import EXACT_STATE_POLICIES, REPORTED_LOAD_POLICIES
from bench.replay.timeline import Timeline

if TYPE_CHECKING:
    from agatehoist.core.work import PrefixLevel
    from agatehoist.placement.types import Candidate, Offer
    from bench.replay.metrics import ReplayMetrics
    from bench.replay.trace import Trace, TraceRequest

SEED = 7
MODEL = "model"
WITHIN_DATA_CENTRE_DELAY_S = 0.0002
RETRY_DELAY_S = 0.05
REPORT_INTERVAL_S = 0.25
TEXT_BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class Decision:
    """Hold the hosts that were chosen for a request, best first."""

    decided_at: float
    order: int
    priority: Priority
    hosts: tuple[str, ...]
    matched_tokens: int

    def __str__(self) -> str:
        hosts = " ".join(self.hosts) or "nobody"
        name = self.priority.name.lower()
        return (
            f"{self.decided_at:.4f} request {self.order} {name} "
            f"matched {self.matched_tokens} to {hosts}"
        )


class Replay:
    """Place the requests of a trace on simulated hosts with a virtual clock."""

    def __init__(
        self,
        trace: Trace,
        policy: str,
        conditions: ReportConditions,
        import_tokens_per_s: float = 0.0,
    ) -> None:
        self.decisions: list[Decision] = []
        self._trace = trace
        self._deployment = trace.deployment
        self._policy_name = policy
        self._policy = POLICIES[policy]()
        self._conditions = conditions
        self._rng = random.Random(SEED)
        self._timeline = Timeline()
        self._metrics = MetricsCollector()
        self._nodes_by_host = {
            host: ReplayNode(host, self._deployment, self._timeline, conditions)
            for host in self._deployment.hosts
        }
        self.block_imports = BlockImports(
            self._nodes_by_host, self._deployment, import_tokens_per_s
        )
        self._candidates = tuple(e.candidate for e in self._nodes_by_host.values())

    def run(self) -> ReplayMetrics:
        """Replay the whole trace and return its metrics."""
        self._schedule_crashes_and_reports()
        for order, request in enumerate(self._trace.requests):
            arrives_at = request.arrives_at + self._deployment.to_clients_s
            replayed_request = _ReplayedRequest(self, order, request)
            self._timeline.at(arrives_at, replayed_request.place)
        self._timeline.run()
        nodes = self._nodes_by_host.values()
        computed_tokens = sum(node.engine.computed_tokens for node in nodes)
        duration_s = self._trace.requests[-1].arrives_at
        capacity_tokens_per_s = self._deployment.prefill_tokens_per_s * len(nodes)
        return self._metrics.summarise(
            computed_tokens, duration_s * capacity_tokens_per_s
        )

    def _schedule_crashes_and_reports(self) -> None:
        for crash in self._trace.crashes:
            node = self._nodes_by_host[crash.host]
            self._timeline.at(crash.fails_at, node.crash)
            self._timeline.at(crash.returns_at, node.restart)
        if self._policy_name not in REPORTED_LOAD_POLICIES:
            return
        duration_s = self._trace.requests[-1].arrives_at
        for index in range(int(duration_s / REPORT_INTERVAL_S)):
            self._timeline.at(index * REPORT_INTERVAL_S, self._report_loads)

    def _report_loads(self) -> None:
        for node in self._nodes_by_host.values():
            self._timeline.after(self._conditions.report_delay_s, node.load_report())

    def delay_s(self, request: TraceRequest, candidate: Candidate) -> float:
        """Return the one-way delay from a request's router to a host."""
        if candidate.data_centre == request.data_centre:
            return WITHIN_DATA_CENTRE_DELAY_S
        return self._deployment.between_data_centres_s


class _ReplayedRequest:
    """Place one request, with retries, until its first token."""

    def __init__(self, replay: Replay, order: int, request: TraceRequest) -> None:
        self._replay = replay
        self._order = order
        self._request = request
        self._blocks = prompt_blocks(request.parts)
        self._placement_request = PlacementRequest(
            _levels(request),
            request.prompt_tokens,
            request.priority,
            request.data_centre,
        )
        self._offers: tuple[Offer, ...] = ()
        self._is_arrival_recorded = False
        self._probed: tuple[Candidate, ...] = ()

    def place(self) -> None:
        """Probe the shortlisted hosts."""
        replay = self._replay
        self._record_arrival()
        self._probed = ()
        shortlist = replay._policy.shortlist(
            self._placement_request, replay._candidates, replay._rng
        )
        self._probe(shortlist, ())

    def _probe(
        self, shortlist: tuple[Candidate, ...], earlier_offers: tuple[Offer, ...]
    ) -> None:
        replay = self._replay
        delay_s = max(replay.delay_s(self._request, each) for each in shortlist)
        if replay._policy_name in EXACT_STATE_POLICIES:
            delay_s = 0.0
        else:
            self._count_probes(len(shortlist))
        self._probed += shortlist
        replay._timeline.after(
            delay_s, lambda: self._collect_offers(shortlist, earlier_offers, delay_s)
        )

    def _record_arrival(self) -> None:
        if self._is_arrival_recorded:
            return
        self._is_arrival_recorded = True
        most_held_tokens = max(
            node.held_tokens(self._blocks) if node.is_up else 0
            for node in self._replay._nodes_by_host.values()
        )
        self._replay._metrics.record_arrival(
            self._request.prompt_tokens - most_held_tokens
        )

    def _count_probes(self, count: int) -> None:
        metrics = self._replay._metrics
        metrics.probes += count
        metrics.control_bytes += count * _probe_bytes(
            self._request, self._placement_request
        )

    def _collect_offers(
        self,
        shortlist: tuple[Candidate, ...],
        earlier_offers: tuple[Offer, ...],
        delay_s: float,
    ) -> None:
        replay = self._replay
        nodes = [replay._nodes_by_host[each.host] for each in shortlist]
        offers = tuple(self._make_offer(node) for node in nodes if node.is_up)
        replay._timeline.after(delay_s, lambda: self._choose(earlier_offers + offers))

    def _make_offer(self, node: ReplayNode) -> Offer:
        name = self._replay._policy_name
        if name in EXACT_STATE_POLICIES:
            return node.exact_offer(self._placement_request, self._blocks)
        if name in REPORTED_LOAD_POLICIES:
            return node.reported_offer(self._placement_request)
        return node.offer(self._placement_request, self._request.organisation)

    def _choose(self, offers: tuple[Offer, ...]) -> None:
        policy = self._replay._policy
        extra_candidates = policy.widen(
            self._placement_request, self._replay._candidates, offers, self._probed
        )
        if extra_candidates:
            self._probe(extra_candidates, offers)
            return
        self._offers = offers
        chosen = self._replay._policy.choose(self._placement_request, offers)
        self._replay.decisions.append(self._make_decision(chosen))
        self._try_offers(chosen)

    def _make_decision(self, chosen: tuple[Offer, ...]) -> Decision:
        return Decision(
            self._replay._timeline.clock.now(),
            self._order,
            self._request.priority,
            tuple(each.candidate.host for each in chosen),
            chosen[0].matched_tokens if chosen else 0,
        )

    def _try_offers(self, offers: tuple[Offer, ...]) -> None:
        replay = self._replay
        if not offers:
            self._retry()
            return
        offer = offers[0]
        delay_s = replay.delay_s(self._request, offer.candidate)
        replay._timeline.after(delay_s, lambda: self._submit(offer, offers[1:]))

    def _submit(self, offer: Offer, remaining_offers: tuple[Offer, ...]) -> None:
        node = self._replay._nodes_by_host[offer.candidate.host]
        if not node.is_up or node.identity != offer.identity:
            self._try_offers(remaining_offers)
            return
        placed = PlacedRequest(
            self._order,
            self._request,
            self._placement_request,
            self._blocks,
            lambda cached_tokens: self._record_first_token(offer, cached_tokens),
            lambda: self._try_offers(remaining_offers),
            self._retry,
        )
        plan = self._replay.block_imports.plan(offer, self._offers, self._blocks)
        if plan is None:
            node.submit(placed)
            return
        blocks = self._replay.block_imports.available_blocks(plan, self._blocks)
        self._replay._timeline.after(
            plan.duration_s, lambda: self._import(node, offer, blocks, placed)
        )

    def _import(
        self,
        node: ReplayNode,
        offer: Offer,
        blocks: tuple[int, ...],
        placed: PlacedRequest,
    ) -> None:
        if not node.is_up or node.identity != offer.identity:
            self._retry()
            return
        node.engine.import_blocks(blocks)
        node.submit(placed)

    def _retry(self) -> None:
        self._replay._metrics.retries += 1
        self._replay._timeline.after(RETRY_DELAY_S, self.place)

    def _record_first_token(self, offer: Offer, cached_tokens: int) -> None:
        replay = self._replay
        return_delay_s = replay.delay_s(self._request, offer.candidate)
        return_delay_s += replay._deployment.to_clients_s
        ttft = replay._timeline.clock.now() + return_delay_s - self._request.arrives_at
        replay._metrics.record_first_token(self._request, ttft, cached_tokens)


_levels_by_parts: dict[object, tuple[PrefixLevel, ...]] = {}


def _levels(request: TraceRequest) -> tuple[PrefixLevel, ...]:
    key = (request.organisation, request.parts)
    if key not in _levels_by_parts:
        salt = salt_for(request.organisation, MODEL, "1")
        texts = [_make_text(part.part_id, part.tokens) for part in request.parts]
        _levels_by_parts[key] = find_levels(texts, salt)
    return _levels_by_parts[key]


def _make_text(part_id: int, tokens: int) -> str:
    return f"{part_id:08d}" * (tokens * TEXT_BYTES_PER_TOKEN // 8)


def _probe_bytes(request: TraceRequest, placement_request: PlacementRequest) -> int:
    probe = Probe(
        1 << 20,
        request.organisation,
        placement_request.levels,
        placement_request.prompt_tokens,
        placement_request.priority,
        request.arrives_at,
    )
    return len(encode(probe)) + _REPLY_BYTES


# The values are arbitrary; only their encoded size matters.
_IDENTITY = EndpointIdentity("0" * 16, "0" * 16, "1")
_REPLY_BYTES = len(encode(ProbeReply(1 << 20, _IDENTITY, 1 << 14, 0.5, True, False)))
