"""Tickets of requests that wait in line, made from what the request asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.admission.line import LINE_SHARE, StartRequest
from agatehoist.admission.types import Job
from agatehoist.fleet.load import DEFAULT_PREFILL_TOKENS_PER_S, FIRST_TOKEN_S
from agatehoist.gateway.endpoint_choice import is_returned, work_priority
from agatehoist.gateway.start_lines import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.gateway.state import GatewayState
    from agatehoist.placement.types import Offer
    from agatehoist.routing.types import RoutedRequest


def make_ticket(
    state: GatewayState,
    request: RoutedRequest,
    offers: tuple[Offer, ...],
    find_offers: Callable[[], tuple[Offer, ...]],
) -> Ticket:
    """Return the ticket with which a request waits for room."""
    prompt = request.envelope.prompt
    assert prompt is not None
    missing = min(
        (max(0, prompt.prompt_tokens - each.matched_tokens) for each in offers),
        default=prompt.prompt_tokens,
    )
    objective_s = request.route.objective_s
    read_s = missing / DEFAULT_PREFILL_TOKENS_PER_S + FIRST_TOKEN_S
    now = state.clock.now()
    organisation = request.organisation.name if request.organisation else ""
    job = Job(
        state.next_attempt_id(),
        organisation,
        work_priority(prompt),
        min(now + LINE_SHARE * objective_s, request.deadline),
        prompt.prompt_tokens,
        missing,
    )
    returned = is_returned(request)
    start_request = StartRequest(
        job,
        objective_s,
        # The objective of a caller that has returned has mostly passed; it gets room
        # like a new one, but before it.
        now if returned else request.envelope.received_at,
        read_s,
        request.deadline,
        returned,
    )
    return Ticket(
        start_request, lambda: least_wait_s(state, find_offers(), prompt.is_short)
    )


def least_wait_s(
    state: GatewayState, offers: tuple[Offer, ...], is_short: bool = False
) -> float:
    """Return the least expected wait at one of the offered endpoints, in seconds."""
    now = state.clock.now()
    lifetimes = (each.identity.endpoint_incarnation for each in offers)
    waits_s = (state.load.wait_s(each, now, is_short) for each in lifetimes)
    return min(waits_s, default=0.0)
