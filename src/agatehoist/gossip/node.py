"""Gossip node: exchanges items with peers over the network."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.address import Address
from agatehoist.errors import AgatehoistError
from agatehoist.gossip.decisions import EXCHANGE_INTERVAL_S, GossipState
from agatehoist.gossip.topics import ITEM_HANDLERS
from agatehoist.membership.election import has_duty
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import EXCHANGES_TOTAL
from agatehoist.protocol.authentication import Side
from agatehoist.protocol.errors import BadFrameError, ProtocolError
from agatehoist.protocol.gossip_messages import Exchange, ExchangeReply, Items
from agatehoist.protocol.limits import MAX_SESSIONS, Slots
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello
from agatehoist.protocol.outgoing_connections import open_connection

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from anyio.abc import TaskGroup

    from agatehoist.gossip.types import Item, Topic
    from agatehoist.membership.view import FleetView
    from agatehoist.protocol.authentication import KeyRing
    from agatehoist.protocol.connection import Connection
    from agatehoist.settings.types import NodeSettings
    from agatehoist.storage.types import HostEntry

logger = get_logger("gossip")

EXCHANGE_TIMEOUT_S = 2.0
MAX_CONCURRENT_EXCHANGES = 16
ISOLATION_TIMEOUT_S = 15.0
EXCHANGE_INTERVAL_WITHOUT_ADDRESS_S = 1.0


class GossipNode:
    """Exchange the configuration and the host list with peers."""

    def __init__(
        self,
        node: NodeSettings,
        inner: Address | None,
        incarnation: str,
        view: FleetView,
        rng: random.Random,
        keys: KeyRing,
    ) -> None:
        self.view = view
        self.rng = rng
        self.keys = keys
        # A session is one connection that this process serves.
        self.session_slots = Slots("sessions", MAX_SESSIONS)
        self._node = node
        self._inner = inner
        self._incarnation = incarnation
        # Peers can't contact a process without an inner address, so it exchanges more
        # often.
        interval = (
            EXCHANGE_INTERVAL_S
            if inner is not None
            else EXCHANGE_INTERVAL_WITHOUT_ADDRESS_S
        )
        self._gossip = GossipState(node.name, rng, interval)
        self._addresses_by_name: dict[str, Address] = {}
        self._subscriber_addresses_by_name: dict[str, Address] = {}
        self._exchange_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_EXCHANGES)
        self._wake_event = anyio.Event()
        self._isolation_starts_at = math.inf
        view.on_hosts.append(self._update_members)

    def hello(self) -> Hello:
        """Return the first message of this process on a connection."""
        return Hello(
            PROTOCOL_VERSION, self._node.name, self._incarnation, self.view.revision
        )

    def version(self, topic: Topic) -> int:
        """Return the held version of a topic, or zero."""
        return self._gossip.version(topic)

    def add_peers(self, peers: Iterable[Address]) -> None:
        """Add peers to contact until there is a host list."""
        for each in peers:
            self._addresses_by_name[str(each)] = each
        self._gossip.set_members(self._addresses_by_name)

    def accept_items(self, items: Iterable[Item]) -> None:
        """Apply the items that are newer and valid, and ignore the others."""
        for item in items:
            if item.version <= self._gossip.version(item.topic):
                continue
            try:
                ITEM_HANDLERS[item.topic](self.view, item)
            except AgatehoistError as error:
                logger.warning(
                    "invalid gossip item ignored", topic=item.topic, reason=str(error)
                )
                continue
            self._gossip.accept(item, self._now())
            self._wake()

    def answer(self, exchange: Exchange) -> ExchangeReply:
        """Answer the exchange of a peer."""
        if exchange.inner is not None:
            self._subscriber_addresses_by_name[exchange.node] = exchange.inner
            self._gossip.add_subscriber(exchange.node, self._now())
        self._record_contact(exchange.node)
        answer = self._gossip.answer(exchange.versions_by_topic, self._now())
        return ExchangeReply(answer.items, answer.wanted)

    def has_duty(self, duty: str) -> bool:
        """Return whether this process has a duty.

        A process that has reached no peer for `ISOLATION_TIMEOUT_S` has every duty.
        """
        if self.view.clock.now() >= self._isolation_starts_at:
            return True
        node = self._node
        return has_duty(duty, node.name, node.data_centre, self.view.hosts)

    async def exchange(self, address: Address) -> None:
        """Exchange items with the process at an address.

        Raises ProtocolError.
        """
        with anyio.move_on_after(EXCHANGE_TIMEOUT_S) as scope:
            connection = await open_connection(address.host, address.port)
            try:
                await connection.handshake(self.hello(), Side.CLIENT, self.keys)
                versions = self._gossip.versions_by_topic
                await connection.send(Exchange(self._node.name, self._inner, versions))
                reply = await _receive_reply(connection)
                self.accept_items(reply.items)
                if reply.wanted:
                    await connection.send(Items(self._gossip.items_for(reply.wanted)))
                    # The peer's reply acknowledges the items.
                    await _receive_reply(connection)
            finally:
                await connection.aclose()
        outcome = "timeout" if scope.cancelled_caught else "answered"
        EXCHANGES_TOTAL.inc({"outcome": outcome})
        if scope.cancelled_caught:
            raise ProtocolError(f"exchange with {address} timed out")

    async def run(self) -> None:
        """Exchange with the peers that are due until cancelled."""
        self._isolation_starts_at = self.view.clock.now() + ISOLATION_TIMEOUT_S
        async with anyio.create_task_group() as task_group:
            while True:
                self._start_exchanges(task_group)
                wake_event = self._wake_event
                delay_s = self._gossip.next_due_at() - self._now()
                with anyio.move_on_after(max(0, delay_s)):
                    await wake_event.wait()

    def _start_exchanges(self, task_group: TaskGroup) -> None:
        for name in self._gossip.due_contacts(self._now()):
            task_group.start_soon(self._exchange_with, name)

    async def _exchange_with(self, name: str) -> None:
        address = self._addresses_by_name.get(name)
        address = address or self._subscriber_addresses_by_name.get(name)
        if address is None:
            return
        try:
            async with self._exchange_limiter:
                await self.exchange(address)
        except ProtocolError as error:
            logger.debug("gossip exchange failed", peer=name, reason=str(error))
            self._gossip.mark_unresponsive(name, self._now())
        else:
            self._record_contact(name)

    def _record_contact(self, name: str) -> None:
        """Stop avoiding a peer, and postpone the time at which isolation starts."""
        self._gossip.mark_responsive(name)
        self._isolation_starts_at = self.view.clock.now() + ISOLATION_TIMEOUT_S

    def _update_members(self, entries: tuple[HostEntry, ...]) -> None:
        if not entries:
            return
        self._addresses_by_name = {
            each.host: Address(each.address, each.port) for each in entries
        }
        same_region = [
            each.host for each in entries if each.region == self._node.region
        ]
        self._gossip.set_members(self._addresses_by_name, same_region)
        subscribers = self._gossip.subscribers()
        self._subscriber_addresses_by_name = {
            name: address
            for name, address in self._subscriber_addresses_by_name.items()
            if name in subscribers
        }

    def _wake(self) -> None:
        self._wake_event.set()
        self._wake_event = anyio.Event()

    def _now(self) -> float:
        return self.view.clock.now()


async def _receive_reply(connection: Connection) -> ExchangeReply:
    reply = await connection.receive()
    if not isinstance(reply, ExchangeReply):
        raise BadFrameError("answer to an exchange isn't an exchange reply")
    return reply
