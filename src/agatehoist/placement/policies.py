"""Placement policies by name."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry
from agatehoist.placement.costs import CostRule, waiting_s
from agatehoist.placement.keys import NO_KEY, placement_keys
from agatehoist.placement.ranking import rank

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, Offer, Question

SAMPLE_COUNT = 3
RANKS_BY_KEY = (3, 2)
SPREAD_RATIO = 2.0
MAX_PROBES = 40
# How much longer than elsewhere a prompt may wait where its cache is, in seconds.
BOUND_S = 0.15


class Policy(Protocol):
    """Choose the endpoint of a request."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return the candidates to probe first."""

    def widen(
        self,
        question: Question,
        candidates: Sequence[Candidate],
        offers: Sequence[Offer],
        asked: Sequence[Candidate],
    ) -> tuple[Candidate, ...]:
        """Return more candidates to probe, or none if the offers will do."""

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers in the order in which to try them."""


POLICIES: Registry[type[Policy]] = Registry("placement policy")


class FixedShortlist:
    """Probe the shortlist and nobody else."""

    def widen(
        self,
        question: Question,
        candidates: Sequence[Candidate],
        offers: Sequence[Offer],
        asked: Sequence[Candidate],
    ) -> tuple[Candidate, ...]:
        """Return no more candidates."""
        return ()


@POLICIES.register("probe")
@POLICIES.register("probe_latency")
class ProbeLatencyPolicy:
    """Probe a few ranks, more while they are busy, and weigh time most."""

    rule = CostRule(missing_weight=5.0)

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return the first ranks of each key of the prompt."""
        found: dict[Candidate, None] = {}
        keys = placement_keys(question)
        for key, count in zip(keys, RANKS_BY_KEY, strict=False):
            ranks = rank(key, candidates, len(found) + count)
            fresh = [each for each in ranks if each not in found]
            found.update(dict.fromkeys(fresh[:count]))
        return tuple(found)

    def widen(
        self,
        question: Question,
        candidates: Sequence[Candidate],
        offers: Sequence[Offer],
        asked: Sequence[Candidate],
    ) -> tuple[Candidate, ...]:
        """Return as many ranks again while a cold endpoint would cost far less."""
        costs = [self.rule.cost_s(question, offer) for offer in offers]
        best_s = min(costs, default=math.inf)
        enough_s = SPREAD_RATIO * self.rule.cold_cost_s(question)
        if best_s <= enough_s or len(asked) >= MAX_PROBES:
            return ()
        key = placement_keys(question)[0]
        known = set(asked)
        ranks = rank(key, candidates, 2 * len(asked))
        return tuple(each for each in ranks if each not in known)[: len(asked)]

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers by their cost."""
        return tuple(
            sorted(offers, key=lambda offer: self.rule.cost_s(question, offer))
        )


@POLICIES.register("probe_cache")
class ProbeCachePolicy(ProbeLatencyPolicy):
    """Probe alike and weigh the tokens to recompute most."""

    rule = CostRule(missing_weight=8.0)


@POLICIES.register("home_bounded")
class HomeBoundedPolicy(FixedShortlist):
    """Take the first rank that isn't much busier than the least busy endpoint."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return every candidate."""
        return tuple(candidates)

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers by rank, the busy ones behind."""
        least_s = min((each.ttft_estimate for each in offers), default=0.0)
        by_host = {each.candidate.host: each for each in offers}
        key = placement_keys(question)[0]
        if key == NO_KEY:
            return tuple(sorted(offers, key=lambda each: each.ttft_estimate))
        ranked = rank(key, [each.candidate for each in offers], len(offers))
        in_order = [by_host[each.host] for each in ranked]
        limit_s = least_s + BOUND_S
        free = [each for each in in_order if each.ttft_estimate <= limit_s]
        busy = [each for each in in_order if each.ttft_estimate > limit_s]
        return (*free, *sorted(busy, key=lambda each: each.ttft_estimate))


@POLICIES.register("random")
class RandomPolicy(FixedShortlist):
    """Take endpoints at random."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return a random sample."""
        return tuple(rng.sample(candidates, min(SAMPLE_COUNT, len(candidates))))

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers as they came."""
        return tuple(offers)


@POLICIES.register("least_loaded")
class LeastLoadedPolicy(FixedShortlist):
    """Take the endpoint with the shortest queue; a baseline for comparison."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return every candidate in random order."""
        return tuple(rng.sample(candidates, len(candidates)))

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers by the time before the prompt itself is computed."""
        return tuple(sorted(offers, key=lambda offer: waiting_s(question, offer)))


@POLICIES.register("rendezvous")
class RendezvousPolicy(FixedShortlist):
    """Take the first rank whatever its load; a baseline for comparison."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return the first two ranks, the second for when the first is down."""
        return rank(placement_keys(question)[0], candidates, 2)

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers in the order of the ranks."""
        return tuple(offers)
