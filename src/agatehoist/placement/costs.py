"""Costs in seconds by which offers of endpoints are compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.admission.room import Room
    from agatehoist.placement.types import Offer, PlacementRequest

# Assumed for every engine, as offers don't state its rate.
PREFILL_S_PER_TOKEN = 1 / 20_000
# A shared part that is read once more takes the time from other prompts, and memory
# from other parts, in addition to the delay of its own request.
REPEAT_WEIGHT = 2.0
# A stream with a gap over its objective has lost the worth of being in time. So has a
# run that is preempted. More wait than this makes most prompts late themselves.
BROKEN_STREAM_S = 1.0
# Pauses are estimated without the noise of the steps; those from this share of the gap
# objective on may exceed it.
SAFE_PAUSE_SHARE = 0.5
# A longer answer holds memory for longer. Counted in full, its time would send short
# prompts to the fast engines that read the long ones, where their streams pause.
ANSWER_WEIGHT = 0.05


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


def finish_cost_s(offer: Offer, is_future_holder: bool = False) -> float:
    """Return what an offer costs its request and others, in seconds.

    An endpoint that is to hold the shared parts may read them without extra cost.
    """
    finish = offer.finish
    if finish is None:
        return offer.ttft_estimate + offer.data_centre_s
    repeat_s = 0.0 if is_future_holder else REPEAT_WEIGHT * finish.repeat_s
    own_s = finish.wait_s + finish.read_s + ANSWER_WEIGHT * finish.answer_s
    return own_s + finish.harm_s + repeat_s + offer.data_centre_s


def harm_s(room: Room, gap_objective_s: float, prefill_tokens_per_s: float) -> float:
    """Return what a prompt costs the streams that run at an endpoint, in seconds.

    It handles endpoints that read a prompt slowly: their streams pause for too long.
    """
    cost_s = 0.0
    if gap_objective_s > 0:
        excess = room.pause_s / gap_objective_s - SAFE_PAUSE_SHARE
        cost_s = BROKEN_STREAM_S * min(1.0, max(0.0, excess / (1 - SAFE_PAUSE_SHARE)))
    if room.short_tokens > 0:
        # Preempted runs are read again.
        cost_s += BROKEN_STREAM_S + room.short_tokens / prefill_tokens_per_s
    return cost_s
