"""News that waits to be sent to other gateways."""

from __future__ import annotations

from typing import Generic, TypeVar

from agatehoist.core.wakeup import Wakeup

# News of this node goes to so many peers at once, and each node to which it is news
# passes it on to a few.
FIRST_HAND_PEERS = 31
FORWARD_PEERS = 4

News = TypeVar("News")


class PeerOutbox(Generic[News]):
    """Hold the news that is to be sent to peers; more than `max_pending` is dropped."""

    def __init__(self, max_pending: int) -> None:
        self.changed = Wakeup()
        self._max_pending = max_pending
        self._pending: list[News] = []
        self._peer_count = FORWARD_PEERS

    def add(self, news: News, is_first_hand: bool) -> None:
        """Add a piece of news, which this node has seen itself or passes on."""
        if len(self._pending) < self._max_pending:
            self._pending.append(news)
        if is_first_hand:
            self._peer_count = FIRST_HAND_PEERS
        self.changed.set()

    def pop(self) -> tuple[tuple[News, ...], int]:
        """Return the pending news and the number of peers that get it."""
        pending, peer_count = tuple(self._pending), self._peer_count
        self._pending, self._peer_count = [], FORWARD_PEERS
        return pending, peer_count
