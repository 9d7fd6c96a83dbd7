"""Finding of the endpoints to try for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.router.probing import probe_all

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
    """Return the offers to try, best first, from the own region if it has any."""
    region = state.settings.node.region
    for group in state.directory.split_by_region(candidates, region):
        offers = await _ask(state, policy, question, group, organisation, deadline)
        if offers:
            return policy.choose(question, offers)
    return ()


async def _ask(
    state: RouterState,
    policy: Policy,
    question: PlacementRequest,
    candidates: Sequence[Candidate],
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    offers: tuple[Offer, ...] = ()
    asked: tuple[Candidate, ...] = ()
    shortlist = policy.shortlist(question, candidates, state.rng)
    while shortlist:
        offers += await probe_all(state, shortlist, question, organisation, deadline)
        asked += shortlist
        shortlist = policy.widen(question, candidates, offers, asked)
    return offers
