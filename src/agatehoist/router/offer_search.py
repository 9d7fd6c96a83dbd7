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
    placement_request: PlacementRequest,
    candidates: Sequence[Candidate],
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    """Return the offers, best first.

    Endpoints of other regions are probed only if none in the router's own region makes
    an offer.
    """
    region = state.settings.node.region
    for group in state.directory.split_by_region(candidates, region):
        offers = await _probe_candidates(
            state, policy, placement_request, group, organisation, deadline
        )
        if offers:
            return policy.choose(placement_request, offers)
    return ()


async def _probe_candidates(
    state: RouterState,
    policy: Policy,
    placement_request: PlacementRequest,
    candidates: Sequence[Candidate],
    organisation: str,
    deadline: float,
) -> tuple[Offer, ...]:
    offers: tuple[Offer, ...] = ()
    probed: tuple[Candidate, ...] = ()
    shortlist = policy.shortlist(placement_request, candidates, state.rng)
    while shortlist:
        offers += await probe_all(
            state, shortlist, placement_request, organisation, deadline
        )
        probed += shortlist
        # More candidates, or none if the offers are good enough.
        shortlist = policy.widen(placement_request, candidates, offers, probed)
    return offers
