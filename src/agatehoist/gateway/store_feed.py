"""Updates of the topics: applied here, and passed on to nodes that don't watch."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

import agatehoist.software.shares_topic  # noqa: F401
from agatehoist.gateway.topics import TOPICS
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.store_feed import FeedReply
from agatehoist.storage.objects import Listing
from agatehoist.storage.outages import OutageDetector
from agatehoist.storage.replica import Replica
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.topics import Topic
    from agatehoist.protocol.store_feed import FeedRequest, Update

logger = get_logger("gateway")

# A watcher whose watch has been silent for this much longer than it lasts has lost the
# store.
CONTACT_MARGIN_S = 0.5
# The store closes all watches when it drops its history; they are back at once.
LOST_GRACE_S = 0.8


class StoreFeed:
    """Apply updates to the topics and hold replicas for the readers of a watcher."""

    def __init__(self) -> None:
        self.topics_by_name: dict[str, Topic] = {
            str(name): TOPICS[name]() for name in TOPICS
        }
        # The revision of the last update of each topic.
        self.revisions_by_topic = dict.fromkeys(self.topics_by_name, NO_REVISION)
        self.outages = OutageDetector()
        self._replicas_by_topic: dict[str, Replica] = {}
        self._valid_until_by_topic: dict[str, float] = {}
        self._watch_scopes_by_topic: dict[str, anyio.CancelScope] = {}
        self._changed = anyio.Event()

    def start_serving(self) -> None:
        """Begin to hold replicas, which the next lists fill."""
        self._replicas_by_topic = {name: Replica() for name in self.topics_by_name}
        self._valid_until_by_topic = {}

    def stop_serving(self) -> None:
        """Drop the replicas."""
        self._replicas_by_topic = {}
        self._valid_until_by_topic = {}

    def is_serving(self, now: float) -> bool:
        """Return whether all topics were read recently enough to be passed on."""
        if not self._replicas_by_topic:
            return False
        return all(
            now <= self._valid_until_by_topic.get(name, -math.inf)
            for name in self.topics_by_name
        )

    @contextmanager
    def renewable_watch(self, topic: str) -> Iterator[None]:
        """Let `renew_watches` end the watch of a topic that the context contains."""
        with anyio.CancelScope() as scope:
            self._watch_scopes_by_topic[topic] = scope
            try:
                yield
            finally:
                del self._watch_scopes_by_topic[topic]

    def renew_watches(self) -> None:
        """End the watches in progress, which may wait on dead connections.

        When the path to the store breaks, each watch would notice it only at its end.
        """
        for scope in tuple(self._watch_scopes_by_topic.values()):
            scope.cancel()

    def note_contact(self, topic: str, valid_for_s: float, now: float) -> None:
        """Record that a topic was read from the store, to be read again in time."""
        self._valid_until_by_topic[topic] = now + valid_for_s + CONTACT_MARGIN_S

    def note_lost(self, topic: str, now: float) -> None:
        """Record that a topic can't be read from the store at the moment."""
        valid_until = self._valid_until_by_topic.get(topic, -math.inf)
        self._valid_until_by_topic[topic] = min(valid_until, now + LOST_GRACE_S)

    def apply(
        self, state: GatewayState, updates_by_topic: Mapping[str, Update]
    ) -> None:
        """Apply updates, and move runs once all are applied.

        After an outage they replay plans that no longer hold, and tell of an endpoint
        in one topic what explains another.
        """
        for name, update in updates_by_topic.items():
            if name in self.topics_by_name:
                self._apply(state, name, update)
        state.active_requests.consider_moves()

    def _apply(self, state: GatewayState, name: str, update: Update) -> None:
        """Apply an update to a topic unless a newer one was applied before."""
        before = self.revisions_by_topic[name]
        if update.revision < before:
            logger.info(
                "older update ignored",
                topic=name,
                revision=str(update.revision),
                known=str(before),
            )
            return
        replica = self._replicas_by_topic.get(name)
        if replica is not None:
            replica.apply(update)
            self._notify()
        self.revisions_by_topic[name] = update.revision
        topic = self.topics_by_name[name]
        try:
            if isinstance(update, Listing):
                topic.replace(state, update)
            else:
                topic.change(state, update)
        except Exception:
            # The same update would fail again; the topic goes on with the next one.
            logger.exception(
                "update not applied", topic=name, revision=str(update.revision)
            )

    async def read(self, request: FeedRequest) -> FeedReply:
        """Return what has changed, and wait for a change if nothing has."""
        with anyio.move_on_after(request.wait_s):
            while not (updates := self._updates(request)):
                await self._changed.wait()
            return FeedReply(updates)
        return FeedReply(self._updates(request))

    def _updates(self, request: FeedRequest) -> dict[str, Update]:
        updates: dict[str, Update] = {}
        for name, revision in request.revisions_by_topic.items():
            replica = self._replicas_by_topic.get(name)
            update = replica.since(revision) if replica else None
            if update is not None:
                updates[name] = update
        return updates

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
