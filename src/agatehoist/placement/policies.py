"""Placement policies by name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry
from agatehoist.placement.costs import waiting_s
from agatehoist.placement.ranking import rank

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from agatehoist.placement.types import Candidate, Offer, Question

PROBE_COUNT = 3


class Policy(Protocol):
    """Choose the endpoint of a request."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return the candidates to probe, best first."""

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers in the order in which to try them."""


POLICIES: Registry[type[Policy]] = Registry("placement policy")


@POLICIES.register("probe")
class ProbePolicy:
    """Probe the first ranks and take the earliest first token."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return the first ranks for the outermost level."""
        return rank(_placement_key(question), candidates, PROBE_COUNT)

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers by estimated time to first token."""
        return tuple(sorted(offers, key=lambda offer: offer.ttft_estimate))


@POLICIES.register("random")
class RandomPolicy:
    """Take endpoints at random."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return a random sample."""
        return tuple(rng.sample(candidates, min(PROBE_COUNT, len(candidates))))

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers as they came."""
        return tuple(offers)


@POLICIES.register("least_loaded")
class LeastLoadedPolicy:
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
class RendezvousPolicy:
    """Take the first rank whatever its load; a baseline for comparison."""

    def shortlist(
        self, question: Question, candidates: Sequence[Candidate], rng: random.Random
    ) -> tuple[Candidate, ...]:
        """Return the first two ranks, the second for when the first is down."""
        return rank(_placement_key(question), candidates, 2)

    def choose(self, question: Question, offers: Sequence[Offer]) -> tuple[Offer, ...]:
        """Return the offers in the order of the ranks."""
        return tuple(offers)


def _placement_key(question: Question) -> bytes:
    return question.levels[0].digest if question.levels else b"none"
