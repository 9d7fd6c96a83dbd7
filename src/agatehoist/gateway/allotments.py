"""Allotments at run time: requests are charged, and gateways exchange datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.core.units import MS_PER_S
from agatehoist.gateway.peer_datagrams import DATAGRAM_HANDLERS, send_datagram
from agatehoist.limits.allotment_node import (
    ANSWER_WITHIN_S,
    SECOND_ASK_AFTER_S,
    TICK_S,
    AllotmentNode,
    AskBatch,
)
from agatehoist.limits.allotments import Terms, request_cost, terms_of
from agatehoist.limits.types import Admit, Refuse
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import ALLOTMENT_DECISIONS_TOTAL
from agatehoist.protocol.allotments import (
    decode_asks,
    decode_grants,
    encode_asks,
    encode_grants,
    organisation_key,
)
from agatehoist.protocol.datagrams import ALLOTMENT_ASKS, ALLOTMENT_GRANTS
from agatehoist.refusals.kinds import RateLimited

if TYPE_CHECKING:
    import socket

    from agatehoist.core.address import Address
    from agatehoist.gateway.state import GatewayState
    from agatehoist.limits.allotment_node import WaitingRequest
    from agatehoist.limits.types import Allotment
    from agatehoist.refusals.types import Refusal
    from agatehoist.routing.types import Organisation, RoutedRequest, RoutingTable

logger = get_logger("gateway")

# An organisation that is refused is logged at most once in this time.
LOG_INTERVAL_S = 5.0
# A process that is late may have the answer in its socket.
LATE_ANSWER_S = 0.002


class Allotments:
    """Hold what this gateway knows of allotments, and the socket of its datagrams."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self.node = AllotmentNode(
            state.settings.inner,
            state.settings.allotments,
            state.rng.getrandbits(31),
            _log_contact,
        )
        self.sock: socket.socket | None = None
        self.terms_by_organisation: dict[bytes, Terms] = {}
        self._table: RoutingTable | None = None
        self._nodes: frozenset[Address] | None = None
        self._logged_at_by_organisation: dict[str, float] = {}

    def refresh(self) -> None:
        """Take over the settings, the configuration and the list of gateways."""
        state = self._state
        self.node.home.bounds = state.settings.allotments
        if self._nodes is not state.nodes:
            self._nodes = state.nodes
            self.node.set_nodes(state.nodes)
        if self._table is not state.table and state.table is not None:
            self._table = state.table
            self.terms_by_organisation = _terms_by_organisation(state.table)
            self.node.set_table(self.terms_by_organisation, state.table.version)

    def flush(self) -> None:
        """Send the messages that wait in the outbox."""
        outbox = self.node.outbox
        if self.sock is not None:
            for destination, batch in outbox:
                if isinstance(batch, AskBatch):
                    data = encode_asks(batch)
                else:
                    data = encode_grants(batch)
                send_datagram(self.sock, data, destination)
        outbox.clear()

    def may_log(self, organisation: str, now: float) -> bool:
        """Return whether a refusal of an organisation is logged."""
        logged_at = self._logged_at_by_organisation.get(organisation)
        if logged_at is not None and now < logged_at + LOG_INTERVAL_S:
            return False
        self._logged_at_by_organisation[organisation] = now
        return True


async def charge(state: GatewayState, request: RoutedRequest) -> Refusal | None:
    """Charge a request to the allotment of its organisation, or refuse it.

    A request that no lease covers waits for its organisation's home, for a tenth of a
    second at most.
    """
    organisation = request.organisation
    if organisation is None or organisation.allotment is None:
        return None
    allotments = state.allotments
    allotments.refresh()
    key = organisation_key(organisation.name)
    terms = terms_of(organisation.allotment, request.table_version)
    cost = _cost(state, request, organisation.allotment)
    decided = anyio.Event()
    waiting = allotments.node.request(key, terms, cost, decided.set, state.clock.now())
    allotments.flush()
    if waiting.verdict is None:
        await _wait(state, key, terms, waiting, decided)
    outcome = "admitted" if isinstance(waiting.verdict, Admit) else "refused"
    ALLOTMENT_DECISIONS_TOTAL.inc({"by": waiting.decided_by, "outcome": outcome})
    if isinstance(waiting.verdict, Refuse):
        return _refusal(state, request, organisation, waiting, waiting.verdict)
    return None


def refund(state: GatewayState, request: RoutedRequest, charged_at: float) -> None:
    """Return the amount of a request that was charged at a time and hasn't run."""
    organisation = request.organisation
    if organisation is None or organisation.allotment is None:
        return
    cost = _cost(state, request, organisation.allotment)
    key = organisation_key(organisation.name)
    now = state.clock.now()
    is_returned = state.allotments.node.leases.refund(key, cost, charged_at, now)
    outcome = "returned" if is_returned else "lapsed"
    ALLOTMENT_DECISIONS_TOTAL.inc({"by": "end", "outcome": outcome})


async def share_allotments(state: GatewayState, sock: socket.socket) -> None:
    """Exchange leases with the other gateways until cancelled.

    Nothing is sent while no organisation has an allotment.
    """
    allotments = state.allotments
    allotments.sock = sock
    while True:
        allotments.refresh()
        if allotments.terms_by_organisation:
            allotments.node.tick(state.clock.now())
            allotments.flush()
        await anyio.sleep(TICK_S)


@DATAGRAM_HANDLERS.register(ALLOTMENT_ASKS)
def receive_asks(state: GatewayState, data: bytes, sent_after: float) -> None:
    """Answer the asks of another gateway.

    Raises BadFrameError.
    """
    batch = decode_asks(data)
    state.allotments.refresh()
    state.allotments.node.receive_asks(batch, sent_after, state.clock.now())
    state.allotments.flush()


@DATAGRAM_HANDLERS.register(ALLOTMENT_GRANTS)
def receive_grants(state: GatewayState, data: bytes, _sent_after: float) -> None:
    """Apply the answer of a home.

    Raises BadFrameError.
    """
    batch = decode_grants(data)
    state.allotments.node.receive_grants(batch, state.clock.now())
    state.allotments.flush()


def _cost(state: GatewayState, request: RoutedRequest, allotment: Allotment) -> float:
    bounds = state.settings.allotments
    return request_cost(allotment, request.envelope.prompt, bounds)


async def _wait(
    state: GatewayState,
    key: bytes,
    terms: Terms,
    waiting: WaitingRequest,
    decided: anyio.Event,
) -> None:
    """Wait for a home, then for the next one, then decide from the local share."""
    allotments = state.allotments
    node = allotments.node
    try:
        with anyio.move_on_after(SECOND_ASK_AFTER_S):
            await decided.wait()
        if waiting.verdict is None:
            node.ask_second(key, terms, state.clock.now())
            allotments.flush()
            left_s = ANSWER_WITHIN_S - SECOND_ASK_AFTER_S + LATE_ANSWER_S
            with anyio.move_on_after(left_s):
                await decided.wait()
        if waiting.verdict is None:
            node.give_up(key, terms, waiting, state.clock.now())
            allotments.flush()
    finally:
        node.withdraw(key, waiting)


def _refusal(
    state: GatewayState,
    request: RoutedRequest,
    organisation: Organisation,
    waiting: WaitingRequest,
    verdict: Refuse,
) -> Refusal:
    now = state.clock.now()
    node = state.allotments.node
    allotment = organisation.allotment
    assert allotment is not None
    retry_at = node.leases.retry_at(
        organisation_key(organisation.name),
        waiting.cost,
        verdict.retry_at,
        request.deadline,
        node.node_count(now),
        state.rng.random(),
        now,
    )
    if state.allotments.may_log(organisation.name, now):
        logger.info(
            "allotment spent",
            organisation=organisation.name,
            rate_per_s=allotment.rate_per_s,
            burst=allotment.burst,
            unit=str(allotment.unit),
            cost=waiting.cost,
            decided_by=waiting.decided_by,
            home=str(node.home_of(organisation_key(organisation.name))),
            configuration=request.table_version,
            retry_ms=round((retry_at - now) * MS_PER_S),
        )
    return RateLimited.refuse(
        f"{organisation.name} has used its allotment of {allotment.rate_per_s:g} "
        f"{allotment.unit}/s, by {waiting.decided_by}",
        retry_at,
    ).refusal


def _terms_by_organisation(table: RoutingTable) -> dict[bytes, Terms]:
    organisations = {each.name: each for each in table.organisations_by_key.values()}
    return {
        organisation_key(name): terms_of(each.allotment, table.version)
        for name, each in organisations.items()
        if each.allotment is not None
    }


def _log_contact(home: Address, is_reachable: bool) -> None:
    event = "allotment home reached again" if is_reachable else "allotment home silent"
    logger.info(event, home=str(home))
