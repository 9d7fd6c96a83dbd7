"""An event queue that runs the spread decisions on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from agatehoist.core.address import Address
from agatehoist.gossip.decisions import Gossip
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
HANDLING_S = 0.002
WATCH_LATENCY_S = 0.01
# Ten packets open, carry and close an exchange, each with a header of this size.
PACKETS_PER_EXCHANGE = 10
HEADER_BYTES = 52
HELLO_BYTES = len(encode(Hello(PROTOCOL_VERSION, "host-0000", "0" * 16, 99999)))


@dataclass(frozen=True)
class Shape:
    """Describe a fleet and its faults; loss is a share of the exchanges."""

    nodes: int
    data_centres: int = 14
    regions: int = 4
    loss: float = 0.0
    payload_bytes: int = 8000
    seed: int = 1


@dataclass
class Node:
    """Hold one process of the fleet."""

    entry: HostEntry
    gossip: Gossip
    in_force_at_by_version: dict[int, float] = field(default_factory=dict)
    sent_bytes: int = 0
    received_bytes: int = 0


class SpreadEvents:
    """Run the processes of a fleet as events."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.now = 0.0
        self.exchanges = 0
        self.cut_regions: frozenset[str] = frozenset()
        self.cut_data_centres: frozenset[str] = frozenset()
        self._rng = random.Random(shape.seed)
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes_by_host = {
            entry.host: Node(entry, Gossip(entry.host, random.Random(index)))
            for index, entry in enumerate(_entries(shape))
        }
        hosts_by_region: dict[str, list[str]] = {}
        for host, node in self.nodes_by_host.items():
            hosts_by_region.setdefault(node.entry.region, []).append(host)
        for node in self.nodes_by_host.values():
            region = node.entry.region
            node.gossip.set_members(self.nodes_by_host, hosts_by_region[region])
            self.at(self._rng.uniform(0, 5), lambda node=node: self._run(node))

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Call something after a delay in seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), call))

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def publish(self, version: int) -> None:
        """Let the watchers that reach the platform see a new version."""
        for host in self.watchers():
            node = self.nodes_by_host[host]
            if self._reaches_platform(node):
                item = Item("configuration", version, bytes(self.shape.payload_bytes))
                delay = WATCH_LATENCY_S * self._rng.uniform(0.5, 1.5)
                self.at(delay, lambda node=node, item=item: self._take(node, item))

    def watchers(self) -> tuple[str, ...]:
        """Return the processes that watch the configuration."""
        entries = [node.entry for node in self.nodes_by_host.values()]
        data_centres = sorted({entry.data_centre for entry in entries})
        return tuple(
            host
            for data_centre in data_centres
            for host in elected_hosts("watch_configuration", data_centre, entries)
        )

    def _run(self, node: Node) -> None:
        for name in node.gossip.due_contacts(self.now):
            self._exchange(node, self.nodes_by_host[name])
        due_at = node.gossip.next_due_at()
        self.at(max(0.0, due_at - self.now), lambda: self._run_if_due(node))

    def _run_if_due(self, node: Node) -> None:
        # An item that was taken since has started a run of its own.
        if node.gossip.next_due_at() <= self.now:
            self._run(node)

    def _take(self, node: Node, item: Item) -> None:
        if node.gossip.accept(item, self.now):
            node.in_force_at_by_version[item.version] = self.now
            self._run(node)

    def _exchange(self, node: Node, peer: Node) -> None:
        self.exchanges += 1
        lost = self._rng.random() < self.shape.loss
        if lost or not self._connected(node, peer):
            name = peer.entry.host
            silent = lambda: node.gossip.mark_unresponsive(name, self.now)  # noqa: E731
            self.at(EXCHANGE_TIMEOUT_S, silent)
            return
        latency = _latency(node.entry, peer.entry)
        versions = node.gossip.versions_by_topic
        message = Exchange(node.entry.host, Address("10.0.0.1", 7000), versions)
        overhead = PACKETS_PER_EXCHANGE // 2 * HEADER_BYTES + HELLO_BYTES
        _count(node, peer, len(encode(message)) + overhead)
        _count(peer, node, overhead)

        def arrive() -> None:
            if not self._connected(node, peer):
                return
            answer = peer.gossip.answer(versions, self.now)
            _count(peer, node, len(encode(ExchangeReply(answer.items, answer.wanted))))
            self.at(latency + HANDLING_S, lambda: self._replied(node, peer, answer))

        self.at(4 * latency + HANDLING_S, arrive)

    def _replied(self, node: Node, peer: Node, answer: object) -> None:
        if not self._connected(node, peer):
            return
        node.gossip.mark_responsive(peer.entry.host)
        for item in answer.items:
            self._take(node, item)
        if not answer.wanted:
            return
        items = node.gossip.items_for(answer.wanted)
        _count(node, peer, len(encode(Items(items))))
        latency = _latency(node.entry, peer.entry)
        for item in items:
            self.at(latency + HANDLING_S, lambda item=item: self._take(peer, item))

    def _connected(self, node: Node, peer: Node) -> bool:
        if {node.entry.data_centre, peer.entry.data_centre} & self.cut_data_centres:
            return False
        if node.entry.region == peer.entry.region:
            return True
        return not {node.entry.region, peer.entry.region} & self.cut_regions

    def _reaches_platform(self, node: Node) -> bool:
        is_cut = node.entry.region in self.cut_regions
        return not is_cut and node.entry.data_centre not in self.cut_data_centres


def _entries(shape: Shape) -> list[HostEntry]:
    return [
        HostEntry(
            f"host-{index:04d}",
            "10.0.0.1",
            7000,
            f"dc{index % shape.data_centres}",
            f"region{index % shape.data_centres % shape.regions}",
            "engine",
            "songs",
        )
        for index in range(shape.nodes)
    ]


def _latency(one: HostEntry, other: HostEntry) -> float:
    if one.data_centre == other.data_centre:
        return LATENCY_SAME_DATA_CENTRE_S
    if one.region == other.region:
        return LATENCY_SAME_REGION_S
    return LATENCY_ACROSS_REGIONS_S


def _count(sender: Node, receiver: Node, size: int) -> None:
    sender.sent_bytes += size
    receiver.received_bytes += size
