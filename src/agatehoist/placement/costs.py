"""Costs by which offers are compared, in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.placement.types import Offer, Question

PREFILL_S_PER_TOKEN = 1 / 20_000


@dataclass(frozen=True, slots=True)
class CostRule:
    """Weigh what an offer costs the request and those that come after it.

    The cost in seconds is the estimated time to first token, plus the time to
    compute the missing tokens times the weight, plus the charge for another
    data centre.
    """

    missing_weight: float
    away_s: float = 0.003

    def cost_s(self, question: Question, offer: Offer) -> float:
        """Return the cost of an offer in seconds."""
        missing_s = missing_tokens(question, offer) * PREFILL_S_PER_TOKEN
        away = offer.candidate.data_centre != question.data_centre
        cost_s = offer.ttft_estimate + self.missing_weight * missing_s
        return cost_s + (self.away_s if away else 0.0)

    def cold_cost_s(self, question: Question) -> float:
        """Return the cost of an idle endpoint that holds nothing."""
        return question.prompt_tokens * PREFILL_S_PER_TOKEN * (1 + self.missing_weight)


def missing_tokens(question: Question, offer: Offer) -> int:
    """Return the prompt tokens that the endpoint would have to compute."""
    return max(0, question.prompt_tokens - offer.matched_tokens)


def waiting_s(question: Question, offer: Offer) -> float:
    """Return the part of an estimate that is spent behind other work."""
    own_s = missing_tokens(question, offer) * PREFILL_S_PER_TOKEN
    return offer.ttft_estimate - own_s
