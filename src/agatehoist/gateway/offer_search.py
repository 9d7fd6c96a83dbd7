"""Search for the endpoints that a request may be sent to now."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.units import MS_PER_S
from agatehoist.core.work import Priority
from agatehoist.gateway.endpoint_choice import find_offers, urgency, work_priority
from agatehoist.gateway.endpoint_permits import (
    acquire_permit,
    held_back_refusal,
    is_limited,
)
from agatehoist.gateway.tickets import least_wait_s, make_ticket
from agatehoist.limits.endpoint_permits import permit_priority

if TYPE_CHECKING:
    from agatehoist.gateway.start_lines import Ticket
    from agatehoist.gateway.state import GatewayState
    from agatehoist.placement.types import Offer
    from agatehoist.refusals.types import Refusal
    from agatehoist.routing.types import RoutedRequest

# Endpoints with a limit that a request asks a permit for before it goes elsewhere.
MAX_PERMITS_ASKED = 4
# The request still waits for the silent endpoint meanwhile.
REPLACEMENT_SEARCH_TIMEOUT_S = 0.2


class OfferSearch:
    """Find endpoints that have room for a request, and permits for limited ones."""

    def __init__(self, state: GatewayState, request: RoutedRequest) -> None:
        self.tried_lifetimes: list[str] = []
        # The only software version at which the request may run, None for any.
        self.software: str | None = None
        # Describes the waits of the request, for its log line.
        self.steps: list[str] = []
        self._state = state
        self._request = request
        self._wait_scope = anyio.CancelScope()

    def stop_waiting(self) -> None:
        """End a wait for room, as the request is withdrawn."""
        self._wait_scope.cancel()

    async def find(self, has_begun: bool) -> tuple[Offer, ...] | Refusal:
        """Return the offers to try, best first, or why the request can't start.

        Only the first offer may be of an endpoint with a limit, as it has a permit.
        An answer that has begun doesn't wait, and a permit may be had a moment later.
        """
        permitted = await self._find_permitted()
        if permitted is not None:
            return (permitted, *self._find_unlimited())
        offers = self._find_unlimited()
        if has_begun:
            return offers
        refusal = None if offers else self._held_back_refusal()
        if refusal is not None:
            return refusal
        return await self._find_room(offers)

    async def find_replacement(self, has_begun: bool) -> tuple[Offer, ...]:
        """Return the offers that can take over from a silent endpoint at once.

        Unlike `find`, this doesn't wait for room, and endpoints that are suspected or
        silent too aren't offered.
        """
        permitted = None
        with anyio.move_on_after(REPLACEMENT_SEARCH_TIMEOUT_S):
            permitted = await self._find_permitted()
        found = self._find_unlimited() if permitted is None else (permitted,)
        offers = tuple(each for each in found if self._answers(each))
        if self._request.envelope.prompt is None or has_begun:
            return offers
        if permitted is not None or not offers:
            return offers
        ticket = make_ticket(self._state, self._request, offers, lambda: offers)
        may_start = self._state.lines.may_start_now(self._request.service, ticket)
        return offers if may_start else ()

    def _answers(self, offer: Offer) -> bool:
        now, host = self._state.clock.now(), offer.candidate.host
        if self._state.suspects.is_suspected(host, now):
            return False
        return not self._state.silences.is_silent(
            offer.identity.endpoint_incarnation, now
        )

    async def _find_permitted(self) -> Offer | None:
        """Return an offer of an endpoint with a limit for which there is a permit.

        Returns None if the best offer is of an endpoint without a limit.
        """
        for _ in range(MAX_PERMITS_ASKED):
            offers = self._find_offers()
            if not offers or not self._is_limited(offers[0]):
                return None
            priority = self._permit_priority(offers)
            if priority is None:
                return None
            endpoint = self._state.fleet.by_name[offers[0].candidate.host]
            if await acquire_permit(self._state, endpoint, priority):
                return offers[0]
        return None

    def _permit_priority(self, offers: tuple[Offer, ...]) -> int | None:
        unlimited = tuple(each for each in offers if not self._is_limited(each))
        prompt = self._request.envelope.prompt
        is_short = prompt is not None and work_priority(prompt) is Priority.SHORT
        return permit_priority(
            urgency(self._request),
            is_short,
            self._request.route.objective_s,
            least_wait_s(self._state, unlimited) if unlimited else math.inf,
        )

    async def _find_room(
        self, offers: tuple[Offer, ...]
    ) -> tuple[Offer, ...] | Refusal:
        """Return the endpoints without a limit once the request may start there.

        Calls without a prompt don't wait.
        """
        if self._request.envelope.prompt is None or not offers:
            return offers
        ticket = make_ticket(self._state, self._request, offers, self._find_unlimited)
        if self._state.lines.may_start_now(self._request.service, ticket):
            return offers
        refusal = await self._wait_in_line(ticket)
        return refusal if refusal is not None else self._find_unlimited()

    async def _wait_in_line(self, ticket: Ticket) -> Refusal | None:
        joined_at = self._state.clock.now()
        refusal = None
        with anyio.CancelScope() as self._wait_scope:
            refusal = await self._state.lines.wait(self._request.service, ticket)
        waited_ms = round((self._state.clock.now() - joined_at) * MS_PER_S)
        self.steps.append(f"waited {waited_ms} ms for room")
        return refusal

    def _held_back_refusal(self) -> Refusal | None:
        request = self._request
        return held_back_refusal(
            self._state, request.service, urgency(request), request.deadline
        )

    def _find_offers(self) -> tuple[Offer, ...]:
        tried = frozenset(self.tried_lifetimes)
        return find_offers(self._state, self._request, tried, self.software)

    def _find_unlimited(self) -> tuple[Offer, ...]:
        return tuple(each for each in self._find_offers() if not self._is_limited(each))

    def _is_limited(self, offer: Offer) -> bool:
        return is_limited(self._state, self._state.fleet.by_name[offer.candidate.host])
