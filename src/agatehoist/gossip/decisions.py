"""Decisions of the spread: whom to contact when, what to give and to take."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from agatehoist.gossip.types import Answer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from agatehoist.gossip.types import Item

FAN_OUT_NEAR = 2
FAN_OUT_FAR = 2
ROUNDS = 4
ROUND_INTERVAL_S = 0.4
EXCHANGE_INTERVAL_S = 5.0
TRANSFER_TIMEOUT_S = 0.5
SILENCE_S = 10.0
GUEST_RETENTION_S = 20.0
MAX_GUESTS = 64


class Gossip:
    """Decide on the spread as one process; times are in seconds."""

    def __init__(
        self,
        own: str,
        rng: random.Random,
        exchange_interval: float = EXCHANGE_INTERVAL_S,
    ) -> None:
        self._own = own
        self._rng = rng
        self._exchange_interval = exchange_interval
        self._members: tuple[str, ...] = ()
        self._near: tuple[str, ...] = ()
        self._items_by_topic: dict[str, Item] = {}
        self._incoming_until_by_topic: dict[str, float] = {}
        self._silent_until_by_name: dict[str, float] = {}
        self._guest_until_by_name: dict[str, float] = {}
        self._rounds_left = 0
        self._round_at = math.inf
        self._exchange_at = -math.inf

    @property
    def versions_by_topic(self) -> dict[str, int]:
        """Return the version held of each topic."""
        return {topic: item.version for topic, item in self._items_by_topic.items()}

    def version(self, topic: str) -> int:
        """Return the version held of a topic, or zero."""
        item = self._items_by_topic.get(topic)
        return item.version if item is not None else 0

    def set_members(self, names: Iterable[str], near: Iterable[str] = ()) -> None:
        """Take the processes that may be contacted, and which share the region."""
        self._members = tuple(sorted(set(names) - {self._own}))
        self._near = tuple(sorted(set(near) - {self._own}))
        members = set(self._members)
        self._guest_until_by_name = {
            name: until
            for name, until in self._guest_until_by_name.items()
            if name not in members
        }

    def note_guest(self, name: str, now: float) -> None:
        """Note a process that isn't a member but wants to hear of new versions."""
        if name in self._members or name == self._own:
            return
        guests = self._guest_until_by_name
        if name in guests or len(guests) < MAX_GUESTS:
            guests[name] = now + GUEST_RETENTION_S

    def guests(self) -> frozenset[str]:
        """Return the processes that want to hear of new versions."""
        return frozenset(self._guest_until_by_name)

    def note_silent(self, name: str, now: float) -> None:
        """Avoid a process that didn't answer for a while."""
        self._silent_until_by_name[name] = now + SILENCE_S
        self._guest_until_by_name.pop(name, None)

    def note_answered(self, name: str) -> None:
        """Stop avoiding a process."""
        self._silent_until_by_name.pop(name, None)

    def accept(self, item: Item, now: float) -> bool:
        """Take an item if its version is higher, and start to announce it."""
        if item.version <= self.version(item.topic):
            return False
        self._items_by_topic[item.topic] = item
        self._incoming_until_by_topic.pop(item.topic, None)
        self._rounds_left = ROUNDS
        self._round_at = now
        return True

    def answer(self, versions_by_topic: Mapping[str, int], now: float) -> Answer:
        """Decide what to give to a peer with these versions, and what to ask for."""
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

    def give(self, topics: Iterable[str]) -> tuple[Item, ...]:
        """Return the items that a peer asked for."""
        return tuple(
            self._items_by_topic[topic]
            for topic in topics
            if topic in self._items_by_topic
        )

    def due_contacts(self, now: float) -> tuple[str, ...]:
        """Return the processes to exchange with now."""
        chosen: dict[str, None] = {}
        if now >= self._round_at:
            if self._rounds_left == ROUNDS:
                chosen.update(dict.fromkeys(self._live_guests(now)))
            self._rounds_left -= 1
            more = self._rounds_left > 0
            self._round_at = now + ROUND_INTERVAL_S if more else math.inf
            # Half stays in the region, so that one that was cut off catches up.
            near = self._choose(self._near, FAN_OUT_NEAR, now)
            far = self._choose(self._members, FAN_OUT_FAR, now)
            chosen.update(dict.fromkeys((*near, *far)))
        if now >= self._exchange_at:
            # Spread at random, so that processes started together don't keep step.
            factor = self._rng.uniform(0.5, 1.5)
            self._exchange_at = now + self._exchange_interval * factor
            chosen.update(dict.fromkeys(self._choose(self._members, 1, now)))
        return tuple(chosen)

    def next_due_at(self) -> float:
        """Return when the next contacts are due."""
        return min(self._round_at, self._exchange_at)

    def _choose(self, members: tuple[str, ...], count: int, now: float) -> list[str]:
        if not members:
            return []
        chosen = self._rng.sample(members, min(2 * count, len(members)))
        answering = [each for each in chosen if not self._is_silent(each, now)]
        # With every choice silent, one is tried, or a cut would never be seen to heal.
        return answering[:count] or chosen[:1]

    def _live_guests(self, now: float) -> list[str]:
        guests = self._guest_until_by_name
        return [name for name, until in guests.items() if until > now]

    def _is_silent(self, name: str, now: float) -> bool:
        return self._silent_until_by_name.get(name, -math.inf) > now

    def _is_incoming(self, topic: str, now: float) -> bool:
        return self._incoming_until_by_topic.get(topic, -math.inf) > now
