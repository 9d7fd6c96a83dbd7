"""Costs by which offers are compared, in seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.placement.types import Offer, Question

PREFILL_S_PER_TOKEN = 1 / 20_000


def missing_tokens(question: Question, offer: Offer) -> int:
    """Return the prompt tokens that the endpoint would have to compute."""
    return max(0, question.prompt_tokens - offer.matched_tokens)


def waiting_s(question: Question, offer: Offer) -> float:
    """Return the part of an estimate that is spent behind other work."""
    own_s = missing_tokens(question, offer) * PREFILL_S_PER_TOKEN
    return offer.ttft_estimate - own_s
