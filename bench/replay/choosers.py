"""Policies that only a replay can run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.placement.policies import POLICIES, FixedShortlist

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, Offer, PlacementRequest

PERFECT_POLICIES = frozenset({"greedy"})
REPORT_POLICIES = frozenset({"least_loaded"})


@POLICIES.register("greedy")
class GreedyPolicy(FixedShortlist):
    """Take the earliest first token over all hosts, with perfect knowledge."""

    def shortlist(
        self,
        question: PlacementRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> tuple[Candidate, ...]:
        """Return every candidate."""
        return tuple(candidates)

    def choose(
        self, question: PlacementRequest, offers: Sequence[Offer]
    ) -> tuple[Offer, ...]:
        """Return the offers by time to first token."""
        return tuple(sorted(offers, key=lambda offer: offer.ttft_estimate))
