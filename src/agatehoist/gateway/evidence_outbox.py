"""Evidence on prompt parts that waits to be sent to other gateways."""

from __future__ import annotations

from agatehoist.core.wakeup import Wakeup
from agatehoist.quarantine.types import Answer, Crash, Evidence, Quarantine

# Evidence of this node goes to so many peers at once, and each node to which it is news
# passes it on to a few.
FIRST_HAND_PEERS = 31
FORWARD_PEERS = 4
MAX_PENDING = 16


class EvidenceOutbox:
    """Hold the evidence that is to be sent to peers."""

    def __init__(self) -> None:
        self.changed = Wakeup()
        self._pending: list[Crash | Answer | Quarantine] = []
        self._peer_count = FORWARD_PEERS

    def add(self, news: Crash | Answer | Quarantine, is_first_hand: bool) -> None:
        """Add a piece of evidence, which this node has seen itself or passes on."""
        # More is dropped; crashes and quarantines are repeated as standing evidence.
        if len(self._pending) < MAX_PENDING:
            self._pending.append(news)
        if is_first_hand:
            self._peer_count = FIRST_HAND_PEERS
        self.changed.set()

    def pop(self) -> tuple[Evidence, int]:
        """Return the pending evidence and the number of peers that get it."""
        pending, peer_count = self._pending, self._peer_count
        self._pending, self._peer_count = [], FORWARD_PEERS
        evidence = Evidence(
            tuple(each for each in pending if isinstance(each, Crash)),
            tuple(each for each in pending if isinstance(each, Answer)),
            tuple(each for each in pending if isinstance(each, Quarantine)),
        )
        return evidence, peer_count
