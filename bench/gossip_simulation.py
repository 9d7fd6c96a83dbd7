"""Discrete-event simulation of the gossip decisions on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from agatehoist.core.address import Address
from agatehoist.gossip.decisions import GossipState
from agatehoist.gossip.node import EXCHANGE_TIMEOUT_S
from agatehoist.gossip.types import Item
from agatehoist.membership.election import elected_hosts
from agatehoist.protocol.codec import encode
from agatehoist.protocol.gossip_messages import Exchange, ExchangeReply, Items
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello
from agatehoist.storage.types import HostEntry

if TYPE_CHECKING:
    from collections.abc import Callable

LATENCY_SAME_DATA_CENTRE_S = 0.0005
LATENCY_SAME_REGION_S = 0.0015
LATENCY_ACROSS_REGIONS_S = 0.04
PROCESSING_S = 0.002
WATCH_LATENCY_S = 0.01
# An exchange takes ten packets to connect, transfer and close; each has a header of
# HEADER_BYTES.
PACKETS_PER_EXCHANGE = 10
HEADER_BYTES = 52
HELLO_BYTES = len(encode(Hello(PROTOCOL_VERSION, "host-0000", "0" * 16, 99999)))


@dataclass(frozen=True)
class FleetParameters:
    """Describe a fleet; loss is the share of the exchanges that fail."""

    nodes: int
    data_centres: int = 14
    regions: int = 4
    loss: float = 0.0
    payload_bytes: int = 8000
    seed: int = 1


@dataclass
class Node:
    """Hold the gossip state, arrival times and traffic of one process of the fleet."""

    entry: HostEntry
    gossip: GossipState
    in_force_at_by_version: dict[int, float] = field(default_factory=dict)
    sent_bytes: int = 0
    received_bytes: int = 0


class GossipSimulation:
    """Simulate the gossip of a fleet; times are in seconds of the virtual clock."""

    def __init__(self, parameters: FleetParameters) -> None:
        self.parameters = parameters
        self.now = 0.0
        self.exchange_count = 0
        self.isolated_regions: frozenset[str] = frozenset()
        self.isolated_data_centres: frozenset[str] = frozenset()
        self._rng = random.Random(parameters.seed)
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes_by_host = {
            entry.host: Node(entry, GossipState(entry.host, random.Random(index)))
            for index, entry in enumerate(_make_entries(parameters))
        }
        hosts_by_region: dict[str, list[str]] = {}
        for host, node in self.nodes_by_host.items():
            hosts_by_region.setdefault(node.entry.region, []).append(host)
        for node in self.nodes_by_host.values():
            region = node.entry.region
            node.gossip.set_members(self.nodes_by_host, hosts_by_region[region])
            # The first rounds are spread over five seconds.
            self.schedule(
                self._rng.uniform(0, 5), lambda node=node: self._run_round(node)
            )

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), action))

    def run_until(self, end: float) -> None:
        """Run all events up to a time, and set the clock to it."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def publish(self, version: int) -> None:
        """Deliver a new version to the watchers that can reach the platform."""
        for host in self.watchers():
            node = self.nodes_by_host[host]
            if self._reaches_platform(node):
                item = Item(
                    "configuration", version, bytes(self.parameters.payload_bytes)
                )
                delay = WATCH_LATENCY_S * self._rng.uniform(0.5, 1.5)
                self.schedule(
                    delay, lambda node=node, item=item: self._accept(node, item)
                )

    def watchers(self) -> tuple[str, ...]:
        """Return the hosts that are elected to watch the configuration."""
        entries = [node.entry for node in self.nodes_by_host.values()]
        data_centres = sorted({entry.data_centre for entry in entries})
        return tuple(
            host
            for data_centre in data_centres
            for host in elected_hosts("watch_configuration", data_centre, entries)
        )

    def _run_round(self, node: Node) -> None:
        for name in node.gossip.due_contacts(self.now):
            self._start_exchange(node, self.nodes_by_host[name])
        due_at = node.gossip.next_due_at()
        self.schedule(max(0.0, due_at - self.now), lambda: self._run_round_if_due(node))

    def _run_round_if_due(self, node: Node) -> None:
        # An item that was accepted in the meantime has already started a round.
        if node.gossip.next_due_at() <= self.now:
            self._run_round(node)

    def _accept(self, node: Node, item: Item) -> None:
        if node.gossip.accept(item, self.now):
            node.in_force_at_by_version[item.version] = self.now
            self._run_round(node)

    def _start_exchange(self, node: Node, peer: Node) -> None:
        self.exchange_count += 1
        lost = self._rng.random() < self.parameters.loss
        if lost or not self._are_connected(node, peer):
            name = peer.entry.host
            handle_timeout = lambda: node.gossip.mark_unresponsive(name, self.now)  # noqa: E731
            self.schedule(EXCHANGE_TIMEOUT_S, handle_timeout)
            return
        latency_s = _latency_s(node.entry, peer.entry)
        versions = node.gossip.versions_by_topic
        message = Exchange(node.entry.host, Address("10.0.0.1", 7000), versions)
        overhead_bytes = PACKETS_PER_EXCHANGE // 2 * HEADER_BYTES + HELLO_BYTES
        _count_bytes(node, peer, len(encode(message)) + overhead_bytes)
        _count_bytes(peer, node, overhead_bytes)

        def handle_request() -> None:
            if not self._are_connected(node, peer):
                return
            answer = peer.gossip.answer(versions, self.now)
            _count_bytes(
                peer, node, len(encode(ExchangeReply(answer.items, answer.wanted)))
            )
            self.schedule(
                latency_s + PROCESSING_S, lambda: self._handle_reply(node, peer, answer)
            )

        self.schedule(4 * latency_s + PROCESSING_S, handle_request)

    def _handle_reply(self, node: Node, peer: Node, answer: object) -> None:
        if not self._are_connected(node, peer):
            return
        node.gossip.mark_responsive(peer.entry.host)
        for item in answer.items:
            self._accept(node, item)
        if not answer.wanted:
            return
        items = node.gossip.items_for(answer.wanted)
        _count_bytes(node, peer, len(encode(Items(items))))
        latency_s = _latency_s(node.entry, peer.entry)
        for item in items:
            self.schedule(
                latency_s + PROCESSING_S, lambda item=item: self._accept(peer, item)
            )

    def _are_connected(self, node: Node, peer: Node) -> bool:
        if {
            node.entry.data_centre,
            peer.entry.data_centre,
        } & self.isolated_data_centres:
            return False
        if node.entry.region == peer.entry.region:
            return True
        return not {node.entry.region, peer.entry.region} & self.isolated_regions

    def _reaches_platform(self, node: Node) -> bool:
        is_isolated = node.entry.region in self.isolated_regions
        return (
            not is_isolated and node.entry.data_centre not in self.isolated_data_centres
        )


def _make_entries(parameters: FleetParameters) -> list[HostEntry]:
    return [
        HostEntry(
            f"host-{index:04d}",
            "10.0.0.1",
            7000,
            f"dc{index % parameters.data_centres}",
            f"region{index % parameters.data_centres % parameters.regions}",
            "engine",
            "songs",
        )
        for index in range(parameters.nodes)
    ]


def _latency_s(one: HostEntry, other: HostEntry) -> float:
    if one.data_centre == other.data_centre:
        return LATENCY_SAME_DATA_CENTRE_S
    if one.region == other.region:
        return LATENCY_SAME_REGION_S
    return LATENCY_ACROSS_REGIONS_S


def _count_bytes(sender: Node, receiver: Node, size: int) -> None:
    sender.sent_bytes += size
    receiver.received_bytes += size
