"""Search for the endpoints to try for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.router.probes import probe_all

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agatehoist.placement.policies import Policy
    from agatehoist.placement.types import Candidate, Offer, PlacementRequest
    from agatehoist.router.state import RouterState


async def find_offers(
    state: RouterState,
    policy: Policy,
    question: PlacementRequest,
    candidates: Sequence[Candidate],
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    """Return the offers, best first; other regions only if the own one has none."""
    region = state.settings.node.region
    for group in state.directory.split_by_region(candidates, region):
        offers = await _probe_candidates(
            state, policy, question, group, organisation, deadline
        )
        if offers:
            return policy.choose(question, offers)
    return ()


async def _probe_candidates(
    state: RouterState,
    policy: Policy,
    question: PlacementRequest,
    candidates: Sequence[Candidate],
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    offers: tuple[Offer, ...] = ()
    probed: tuple[Candidate, ...] = ()
    shortlist = policy.shortlist(question, candidates, state.rng)
    while shortlist:
        offers += await probe_all(state, shortlist, question, organisation, deadline)
        probed += shortlist
        shortlist = policy.widen(question, candidates, offers, probed)
    return offers
