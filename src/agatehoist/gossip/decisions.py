"""Decisions of the gossip protocol: whom to contact when, and which items to send.

A process that gets a new version contacts others in a few rounds. Besides, it exchanges
versions with one process per exchange interval. Members are the processes on the host
list; a subscriber isn't listed but has asked for new versions. A peer is the process at
the other end of an exchange.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from agatehoist.gossip.types import Answer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from agatehoist.gossip.types import Item

FAN_OUT_IN_REGION = 2
FAN_OUT_ANY_REGION = 2
ROUNDS_PER_VERSION = 4
ROUND_INTERVAL_S = 0.4
EXCHANGE_INTERVAL_S = 5.0
TRANSFER_TIMEOUT_S = 0.5
UNRESPONSIVE_RETRY_S = 10.0
SUBSCRIBER_RETENTION_S = 20.0
MAX_SUBSCRIBERS = 64


class GossipState:
    """Hold the items of one process and decide on its contacts and transfers.

    Times are in seconds.
    """

    def __init__(
        self,
        own_name: str,
        rng: random.Random,
        exchange_interval_s: float = EXCHANGE_INTERVAL_S,
    ) -> None:
        self._own_name = own_name
        self._rng = rng
        self._exchange_interval_s = exchange_interval_s
        self._members: tuple[str, ...] = ()
        self._same_region: tuple[str, ...] = ()
        self._items_by_topic: dict[str, Item] = {}
        # Requested topics, each with the time until which its item is expected.
        self._incoming_until_by_topic: dict[str, float] = {}
        self._unresponsive_until_by_name: dict[str, float] = {}
        self._subscribed_until_by_name: dict[str, float] = {}
        self._rounds_left = 0
        self._next_round_at = math.inf
        self._next_exchange_at = -math.inf

    @property
    def versions_by_topic(self) -> dict[str, int]:
        """Return the held version of each topic."""
        return {topic: item.version for topic, item in self._items_by_topic.items()}

    def version(self, topic: str) -> int:
        """Return the held version of a topic, or zero."""
        item = self._items_by_topic.get(topic)
        return item.version if item is not None else 0

    def set_members(
        self, names: Iterable[str], same_region: Iterable[str] = ()
    ) -> None:
        """Set the members, which may be contacted, and those in the same region."""
        self._members = tuple(sorted(set(names) - {self._own_name}))
        self._same_region = tuple(sorted(set(same_region) - {self._own_name}))
        members = set(self._members)
        self._subscribed_until_by_name = {
            name: until
            for name, until in self._subscribed_until_by_name.items()
            if name not in members
        }

    def add_subscriber(self, name: str, now: float) -> None:
        """Record a process, such as a router, that wants versions but isn't listed."""
        if name in self._members or name == self._own_name:
            return
        subscribers = self._subscribed_until_by_name
        if name in subscribers or len(subscribers) < MAX_SUBSCRIBERS:
            subscribers[name] = now + SUBSCRIBER_RETENTION_S

    def subscribers(self) -> frozenset[str]:
        """Return the processes that aren't members but want to receive new versions."""
        return frozenset(self._subscribed_until_by_name)

    def mark_unresponsive(self, name: str, now: float) -> None:
        """Avoid a process that didn't answer, for `UNRESPONSIVE_RETRY_S`."""
        self._unresponsive_until_by_name[name] = now + UNRESPONSIVE_RETRY_S
        self._subscribed_until_by_name.pop(name, None)

    def mark_responsive(self, name: str) -> None:
        """Stop avoiding a process."""
        self._unresponsive_until_by_name.pop(name, None)

    def accept(self, item: Item, now: float) -> bool:
        """Store an item if its version is higher, and start to distribute it."""
        if item.version <= self.version(item.topic):
            return False
        self._items_by_topic[item.topic] = item
        self._incoming_until_by_topic.pop(item.topic, None)
        self._rounds_left = ROUNDS_PER_VERSION
        self._next_round_at = now
        return True

    def answer(self, versions_by_topic: Mapping[str, int], now: float) -> Answer:
        """Return the items that the peer lacks, and the topics to request from it."""
        items = tuple(
            item
            for topic, item in self._items_by_topic.items()
            if item.version > versions_by_topic.get(topic, 0)
        )
        wanted = [
            topic
            for topic, version in versions_by_topic.items()
            if version > self.version(topic) and not self._is_incoming(topic, now)
        ]
        for topic in wanted:
            self._incoming_until_by_topic[topic] = now + TRANSFER_TIMEOUT_S
        return Answer(items, tuple(wanted))

    def items_for(self, topics: Iterable[str]) -> tuple[Item, ...]:
        """Return the items of the topics that a peer requested."""
        return tuple(
            self._items_by_topic[topic]
            for topic in topics
            if topic in self._items_by_topic
        )

    def due_contacts(self, now: float) -> tuple[str, ...]:
        """Return the processes to exchange with now."""
        chosen: dict[str, None] = {}
        if now >= self._next_round_at:
            # Subscribers are contacted in the first round after a new version only.
            if self._rounds_left == ROUNDS_PER_VERSION:
                chosen.update(dict.fromkeys(self._active_subscribers(now)))
            self._rounds_left -= 1
            has_more_rounds = self._rounds_left > 0
            self._next_round_at = (
                now + ROUND_INTERVAL_S if has_more_rounds else math.inf
            )
            # Half of the contacts stay in the region: after a network partition, they
            # spread a version in the region once one of its processes has received it.
            same_region = self._choose(self._same_region, FAN_OUT_IN_REGION, now)
            any_region = self._choose(self._members, FAN_OUT_ANY_REGION, now)
            chosen.update(dict.fromkeys((*same_region, *any_region)))
        if now >= self._next_exchange_at:
            # Jitter, so that processes started together don't stay synchronised.
            factor = self._rng.uniform(0.5, 1.5)
            self._next_exchange_at = now + self._exchange_interval_s * factor
            chosen.update(dict.fromkeys(self._choose(self._members, 1, now)))
        return tuple(chosen)

    def next_due_at(self) -> float:
        """Return when the next contacts are due."""
        return min(self._next_round_at, self._next_exchange_at)

    def _choose(self, members: tuple[str, ...], count: int, now: float) -> list[str]:
        if not members:
            return []
        # Twice as many are drawn, since some may be unresponsive.
        chosen = self._rng.sample(members, min(2 * count, len(members)))
        responsive = [each for each in chosen if not self._is_unresponsive(each, now)]
        # If none is responsive, one is tried all the same; otherwise the end of a
        # network partition would never be noticed.
        return responsive[:count] or chosen[:1]

    def _active_subscribers(self, now: float) -> list[str]:
        subscribers = self._subscribed_until_by_name
        return [name for name, until in subscribers.items() if until > now]

    def _is_unresponsive(self, name: str, now: float) -> bool:
        return self._unresponsive_until_by_name.get(name, -math.inf) > now

    def _is_incoming(self, topic: str, now: float) -> bool:
        return self._incoming_until_by_topic.get(topic, -math.inf) > now
