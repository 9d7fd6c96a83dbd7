"""Requests that leave the data centre of their gateway, and what that costs."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

from agatehoist.core.units import MS_PER_S
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import DATA_CENTRE_BYTES_TOTAL, SPILL_SHARE
from agatehoist.placement.policies import MIN_HOME_TOKENS
from agatehoist.placement.spill import SpillWaits, leaves

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.placement_state import ServiceSpill
    from agatehoist.gateway.state import GatewayState
    from agatehoist.placement.types import Offer
    from agatehoist.routing.types import RoutedRequest

logger = get_logger("gateway")

SPREAD_BYTES = 2
# Reports of fewer of the peers that send them say too little of the other gateways.
MIN_HEARD_SHARE = 0.5
# Peers that report to this process, at most; gateway.peer_reports limits their number.
MAX_REPORTING_PEERS = 31
# Shares of the objective that a request waits rather than leave its data centre.
CALL_WAIT_SHARE = 0.1
PROMPT_WAIT_SHARE = 0.5
# A changed share is logged in steps, and not more often.
LOGGED_STEPS = 4
LOG_INTERVAL_S = 1.0


def by_data_centre(
    state: GatewayState,
    request: RoutedRequest,
    offers: tuple[Offer, ...],
    now: float,
    is_first: bool,
) -> tuple[Offer, ...]:
    """Return the offers of the data centres that a request goes to first, in order.

    A prompt with a long shared part goes to its holder wherever that is, as its bytes
    cost less than to compute the part once more. Prompts without measured rates are
    placed without regard to data centres. The share is decided when a request is first
    placed.
    """
    own_data_centre = state.settings.data_centre
    own = tuple(e for e in offers if e.candidate.data_centre == own_data_centre)
    others = tuple(e for e in offers if e.candidate.data_centre != own_data_centre)
    if not state.settings.placement.spills or not others:
        return offers
    if not _may_leave(request, offers):
        return offers
    spill = state.placement.spill(request.service)
    waits = SpillWaits(
        _least_wait_s(state, spill, own, now),
        _least_wait_s(state, spill, others, now),
        min(transfer_s(state, request, e.candidate.data_centre) for e in others),
        _has_reports(state, now),
    )
    if is_first:
        spill.share.update(waits, now)
        _record(request.service, spill, waits, now)
    if leaves(_spread(request), spill.share.share, waits, _tolerated_s(request)):
        return (*others, *own)
    return (*own, *others)


def transfer_s(state: GatewayState, request: RoutedRequest, data_centre: str) -> float:
    """Return the cost of sending a request to a data centre, 0 to the own one."""
    own = state.settings.data_centre
    if data_centre == own:
        return 0.0
    costs = state.placement.spill(request.service).costs
    delay_s = state.placement.delays.delay_s(own, data_centre)
    return delay_s + costs.traffic_s(state.settings.placement.wait_s_per_mb)


def note_answered(
    state: GatewayState,
    request: RoutedRequest,
    endpoint: Endpoint,
    answer_bytes: int,
    began_at: float,
) -> None:
    """Learn the costs of a service from a complete answer."""
    now = state.clock.now()
    exchange_bytes = len(request.envelope.body) + answer_bytes
    costs = state.placement.spill(request.service).costs
    costs.note_bytes(exchange_bytes)
    # The load still counts this request.
    if state.load.runs(endpoint.lifetime, now) <= endpoint.slots:
        costs.note_run(now - began_at)
    if endpoint.data_centre != state.settings.data_centre:
        DATA_CENTRE_BYTES_TOTAL.add({"kind": "requests"}, exchange_bytes)


def _tolerated_s(request: RoutedRequest) -> float:
    """Return how much longer a request outside of the share waits here than elsewhere.

    Few of the calls without a prompt arrive within the age of a report, so they can
    follow it without all going to the same endpoint.
    """
    share = CALL_WAIT_SHARE if request.envelope.prompt is None else PROMPT_WAIT_SHARE
    objective_s = request.route.objective_s
    return share * objective_s if objective_s else math.inf


def _may_leave(request: RoutedRequest, offers: tuple[Offer, ...]) -> bool:
    prompt = request.envelope.prompt
    if prompt is None:
        return True
    if any(each.finish is None for each in offers):
        return False
    return sum(each.tokens for each in prompt.shared_parts) < MIN_HOME_TOKENS


def _least_wait_s(
    state: GatewayState, spill: ServiceSpill, offers: tuple[Offer, ...], now: float
) -> float:
    return min((_wait_s(state, spill, each, now) for each in offers), default=math.inf)


def _wait_s(
    state: GatewayState, spill: ServiceSpill, offer: Offer, now: float
) -> float:
    if offer.finish is not None:
        return offer.finish.wait_s + offer.finish.harm_s
    endpoint = state.fleet.by_name[offer.candidate.host]
    runs = state.load.runs(endpoint.lifetime, now)
    return spill.costs.wait_s(runs, endpoint.slots)


def _has_reports(state: GatewayState, now: float) -> bool:
    expected = min(MAX_REPORTING_PEERS, len(state.nodes) - 1)
    return state.load.nodes_heard(now) >= MIN_HEARD_SHARE * expected


def _spread(request: RoutedRequest) -> float:
    """Return a number from 0 to 1 that is the same in each try of a request."""
    request_id = request.envelope.request_id.encode()
    digest = hashlib.blake2b(request_id, digest_size=SPREAD_BYTES).digest()
    return int.from_bytes(digest) / 256**SPREAD_BYTES


def _record(service: str, spill: ServiceSpill, waits: SpillWaits, now: float) -> None:
    share = spill.share.share
    SPILL_SHARE.set({"service": service}, share)
    quarters = math.ceil(share * LOGGED_STEPS)
    if quarters == spill.logged_quarters or now < spill.log_again_at:
        return
    spill.logged_quarters, spill.log_again_at = quarters, now + LOG_INTERVAL_S
    logger.info(
        "share of requests to other data centres",
        service=service,
        share=round(share, 2),
        own_wait_ms=_ms(waits.own_s),
        other_wait_ms=_ms(waits.other_s),
        transfer_ms=_ms(waits.transfer_s),
        has_reports=waits.has_reports,
    )


def _ms(seconds: float) -> float | None:
    return None if math.isinf(seconds) else round(seconds * MS_PER_S, 1)
