"""Placement policies that only a replay can run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.placement.policies import POLICIES, FixedShortlist

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, Offer, PlacementRequest

EXACT_STATE_POLICIES = frozenset({"greedy"})
REPORTED_LOAD_POLICIES = frozenset({"least_loaded"})


@POLICIES.register("greedy")
class GreedyPolicy(FixedShortlist):
    """Choose the earliest first token, estimated from the exact state of all hosts."""

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
        """Return the offers, earliest first token first."""
        return tuple(sorted(offers, key=lambda offer: offer.ttft_estimate))
