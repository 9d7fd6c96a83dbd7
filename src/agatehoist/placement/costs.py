"""Costs in seconds by which offers of endpoints are compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.placement.types import Offer, PlacementRequest

# Assumed for every engine, as offers don't state its rate.
PREFILL_S_PER_TOKEN = 1 / 20_000


@dataclass(frozen=True, slots=True)
class CostRule:
    """Compute what an offer costs the request itself and later requests.

    The cost in seconds is the estimated time to first token, plus the time to
    compute the missing tokens times the recompute weight, plus other_data_centre_s if
    the endpoint is in another data centre.
    """

    recompute_weight: float
    other_data_centre_s: float = 0.003

    def cost_s(self, request: PlacementRequest, offer: Offer) -> float:
        """Return the cost of an offer in seconds."""
        missing_s = missing_tokens(request, offer) * PREFILL_S_PER_TOKEN
        in_other_data_centre = offer.candidate.data_centre != request.data_centre
        cost_s = offer.ttft_estimate + self.recompute_weight * missing_s
        return cost_s + (self.other_data_centre_s if in_other_data_centre else 0.0)

    def cold_cost_s(self, request: PlacementRequest) -> float:
        """Return the cost of an idle endpoint with an empty cache in seconds."""
        return request.prompt_tokens * PREFILL_S_PER_TOKEN * (1 + self.recompute_weight)


def missing_tokens(request: PlacementRequest, offer: Offer) -> int:
    """Return the prompt tokens that the endpoint would have to compute."""
    return max(0, request.prompt_tokens - offer.matched_tokens)


def queueing_s(request: PlacementRequest, offer: Offer) -> float:
    """Return the part of an estimate that is spent waiting for other work."""
    own_s = missing_tokens(request, offer) * PREFILL_S_PER_TOKEN
    return offer.ttft_estimate - own_s
