"""The placement policies and their registry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry
from agatehoist.placement.costs import (
    PREFILL_S_PER_TOKEN,
    CostRule,
    finish_cost_s,
    queueing_s,
)
from agatehoist.placement.keys import NO_PREFIX_KEY, placement_keys
from agatehoist.placement.ranking import rank, rank_by_weight

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, Offer, PlacementRequest

RANDOM_SAMPLE_SIZE = 3
# Candidates to probe for the first and for the second key of a prompt.
PROBES_PER_KEY = (3, 2)
# More candidates are probed while the best offer costs more than this multiple of an
# idle endpoint with an empty cache.
WIDEN_COST_RATIO = 2.0
MAX_PROBES = 40
# Requests that share fewer tokens have no home: the endpoints read those in less time
# than the choice of a busier endpoint costs.
MIN_HOME_TOKENS = 1_000
# Gateways decide on reports that are up to 0.8 s old. A smaller difference of expected
# finish says nothing about which endpoint is the better one.
NEARLY_EQUAL_S = 0.03
# The same as a share of the least expected time, as estimates err in proportion.
NEARLY_EQUAL_SHARE = 0.15
# A prompt with a home goes elsewhere only for a larger difference. With 0.03 s, all
# gateways leave a home that their reports show as busy: 13% of the long prompts were
# late at a load of x 1.5 and reports every 0.7 s, 3% to 8% with 0.2 s and 0.3 s.
HOME_TOLERANCE_S = 0.3
# Most extra time to first token that is accepted at the home of a prompt, besides the
# time to compute the shared part of the prompt elsewhere.
MAX_EXTRA_WAIT_S = 0.05


class Policy(Protocol):
    """Choose the endpoints to probe and the endpoint that gets a request."""

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return the candidates to probe first."""

    def widen(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        offers: Sequence[Offer],
        probed: Sequence[Candidate],
    ) -> tuple[Candidate, ...]:
        """Return more candidates to probe, or none if the offers are good enough."""

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers in the order in which to try them."""


POLICIES: Registry[type[Policy]] = Registry("placement policy")


class FixedShortlist:
    """Probe the shortlist only."""

    def widen(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        offers: Sequence[Offer],
        probed: Sequence[Candidate],
    ) -> tuple[Candidate, ...]:
        """Return no more candidates."""
        return ()


# "probe", the default of configurations, is the same policy as "probe_latency".
@POLICIES.register("probe")
@POLICIES.register("probe_latency")
class ProbeLatencyPolicy:
    """Probe a few top-ranked candidates, more while they are busy; favour latency."""

    cost_rule = CostRule(recompute_weight=5.0)

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return the top-ranked candidates of each key of the prompt."""
        shortlisted: dict[Candidate, None] = {}
        keys = placement_keys(request)
        for key, count in zip(keys, PROBES_PER_KEY, strict=False):
            top_candidates = rank(key, candidates, len(shortlisted) + count)
            fresh = [each for each in top_candidates if each not in shortlisted]
            shortlisted.update(dict.fromkeys(fresh[:count]))
        return tuple(shortlisted)

    def widen(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        offers: Sequence[Offer],
        probed: Sequence[Candidate],
    ) -> tuple[Candidate, ...]:
        """Return as many more as were probed if a cold endpoint would cost far less."""
        costs = [self.cost_rule.cost_s(request, offer) for offer in offers]
        best_s = min(costs, default=math.inf)
        acceptable_s = WIDEN_COST_RATIO * self.cost_rule.cold_cost_s(request)
        if best_s <= acceptable_s or len(probed) >= MAX_PROBES:
            return ()
        key = placement_keys(request)[0]
        known = set(probed)
        top_candidates = rank(key, candidates, 2 * len(probed))
        return tuple(each for each in top_candidates if each not in known)[
            : len(probed)
        ]

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers, lowest cost first."""
        return tuple(
            sorted(offers, key=lambda offer: self.cost_rule.cost_s(request, offer))
        )


@POLICIES.register("probe_cache")
class ProbeCachePolicy(ProbeLatencyPolicy):
    """Probe like ProbeLatencyPolicy, with more weight on the tokens to recompute."""

    cost_rule = CostRule(recompute_weight=8.0)


@POLICIES.register("home_bounded")
class HomeBoundedPolicy(FixedShortlist):
    """Choose the home of a prompt, its top-ranked endpoint, unless it is much slower.

    If its time to first token exceeds the shortest one by more than a limit, the next
    by rank that is within this limit is chosen.
    """

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return every candidate."""
        return tuple(candidates)

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers by rank, those over the limit last, by their estimate."""
        min_ttft_s = min((each.ttft_estimate for each in offers), default=0.0)
        offers_by_host = {each.candidate.host: each for each in offers}
        key = placement_keys(request)[0]
        if key == NO_PREFIX_KEY:
            return tuple(sorted(offers, key=lambda each: each.ttft_estimate))
        ranked = rank(key, [each.candidate for each in offers], len(offers))
        by_rank = [offers_by_host[each.host] for each in ranked]
        shared_s = request.levels[-1].tokens * PREFILL_S_PER_TOKEN
        limit_s = min_ttft_s + MAX_EXTRA_WAIT_S + shared_s
        within_limit = [each for each in by_rank if each.ttft_estimate <= limit_s]
        over_limit = [each for each in by_rank if each.ttft_estimate > limit_s]
        return (*within_limit, *sorted(over_limit, key=lambda each: each.ttft_estimate))


@POLICIES.register("expected_finish")
class ExpectedFinishPolicy(FixedShortlist):
    """Choose where an answer ends soonest, at a holder of its prompt, without a rush.

    It handles prompts that share long parts and endpoints of uneven speed. All offers
    state their finish. Nearly equal ones are ordered by rendezvous hashing: by the
    shared part and the weights if the part is long, so that few endpoints hold it, else
    by the request, so that gateways with the same reports choose different endpoints.
    """

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return every candidate."""
        return tuple(candidates)

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the nearly equal offers by rank, then the others by their cost."""
        if not offers:
            return ()
        ranked, holders = _by_rank(request, offers)
        future = _future_holders(ranked, holders)
        costs_s = {
            each.candidate.host: finish_cost_s(each, each.candidate.host in future)
            for each in ranked
        }
        least_s = min(costs_s.values())
        limit_s = least_s + max(
            HOME_TOLERANCE_S if holders else NEARLY_EQUAL_S,
            NEARLY_EQUAL_SHARE * least_s,
        )
        near = [each for each in ranked if costs_s[each.candidate.host] <= limit_s]
        others = [each for each in ranked if costs_s[each.candidate.host] > limit_s]
        # A part with more than one holder needs them for its load.
        first = sorted(near[:holders], key=lambda each: costs_s[each.candidate.host])
        return (
            *first,
            *near[holders:],
            *sorted(others, key=lambda each: costs_s[each.candidate.host]),
        )


def _by_rank(
    request: PlacementRequest, offers: Sequence[Offer]
) -> tuple[tuple[Offer, ...], int]:
    """Return the offers by rank, and how many of the first are to hold the prompt."""
    if not request.levels or request.levels[-1].tokens < MIN_HOME_TOKENS:
        unweighted = {each.candidate: each for each in offers}
        ranked = rank(request.spread_key, unweighted, len(unweighted))
        return tuple(unweighted[each] for each in ranked), 0
    key = placement_keys(request)[0]
    return rank_by_weight(key, offers), request.holder_count


def _future_holders(ranked: Sequence[Offer], holders: int) -> frozenset[str]:
    """Return the hosts that are to read the shared part of a prompt in addition."""
    lacking = [each for each in ranked if each.finish and each.finish.repeat_s > 0]
    missing = max(0, holders - (len(ranked) - len(lacking)))
    return frozenset(each.candidate.host for each in lacking[:missing])


@POLICIES.register("random")
class RandomPolicy(FixedShortlist):
    """Choose endpoints at random."""

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return a random sample."""
        return tuple(rng.sample(candidates, min(RANDOM_SAMPLE_SIZE, len(candidates))))

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers in their given order."""
        return tuple(offers)


@POLICIES.register("least_loaded")
class LeastLoadedPolicy(FixedShortlist):
    """Choose the endpoint with the least queueing time; a baseline for comparison."""

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return every candidate in random order."""
        return tuple(rng.sample(candidates, len(candidates)))

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers, shortest queueing time first."""
        return tuple(sorted(offers, key=lambda offer: queueing_s(request, offer)))


@POLICIES.register("rendezvous")
class RendezvousPolicy(FixedShortlist):
    """Choose the top-ranked endpoint whatever its load; a baseline for comparison."""

    def shortlist(
        self,
        request: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return the two top-ranked candidates, the second as a fallback."""
        return rank(placement_keys(request)[0], candidates, 2)

    def choose(
        self, request: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers in their given order, which is by rank."""
        return tuple(offers)
