"""Cache events and load reports of the engine stand-in, which can be late or lost."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from anyio.streams.memory import MemoryObjectSendStream

SEED = 1
MAX_BUFFERED_EVENTS = 10_000


@dataclass(frozen=True)
class CacheFaults:
    """Configure the faults of an engine's cache and load reports.

    event_delay and load_lag, the age of load reports, are in seconds; event_loss is a
    probability. keep_blocks keeps the cached blocks when the weights change;
    ignore_expected_version runs requests that expect other weights; state_no_epoch
    leaves the version and incarnation out of the replies.
    """

    event_delay: float = 0.0
    event_loss: float = 0.0
    load_lag: float = 0.0
    keep_blocks: bool = False
    ignore_expected_version: bool = False
    state_no_epoch: bool = False


@dataclass(frozen=True)
class Epoch:
    """Identify the engine run and the weights that cached blocks belong to."""

    incarnation: str
    weights_version: str


class EventFeed:
    """Number the cache events and send them to all subscribers."""

    def __init__(self, faults: CacheFaults) -> None:
        self.faults = faults
        self.sequence = 0
        self._rng = random.Random(SEED)
        self._subscribers: list[MemoryObjectSendStream[tuple[float, str]]] = []

    def publish(
        self, epoch: Epoch, stored: Sequence[str], removed: Sequence[str]
    ) -> None:
        """Send an event with the stored blocks and those evicted for them."""
        self.sequence += 1
        if self._rng.random() < self.faults.event_loss:
            return
        line = json.dumps(event_fields(epoch, self.sequence, stored, removed))
        due_at = time.monotonic() + self.faults.event_delay
        for subscriber in self._subscribers:
            subscriber.send_nowait((due_at, line))

    async def subscribe(self) -> AsyncIterator[str]:
        """Yield the events that are published from now on, as JSON lines."""
        subscriber, events = anyio.create_memory_object_stream[tuple[float, str]](
            MAX_BUFFERED_EVENTS
        )
        self._subscribers.append(subscriber)
        try:
            # An empty line makes the server send the response headers immediately.
            yield "\n"
            async for due_at, line in events:
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                yield line + "\n"
        finally:
            self._subscribers.remove(subscriber)
            subscriber.close()
            events.close()


class DelayedLoad:
    """Report the load as of a fixed number of seconds ago."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._loads: list[tuple[float, int]] = [(0.0, 0)]

    def record(self, running: int) -> None:
        """Record the current load."""
        now = time.monotonic()
        self._loads.append((now, running))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self._lag:
            del self._loads[0]

    def report(self) -> int:
        """Return the load as of `lag` seconds ago."""
        reported_at = time.monotonic() - self._lag
        return [running for at, running in self._loads if at <= reported_at][-1]


def event_fields(
    epoch: Epoch, sequence: int, stored: Sequence[str], removed: Sequence[str]
) -> dict[str, Any]:
    """Return the fields of one event."""
    return {
        "incarnation": epoch.incarnation,
        "weights_version": epoch.weights_version,
        "sequence": sequence,
        "stored": list(stored),
        "removed": list(removed),
    }
