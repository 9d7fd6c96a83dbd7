"""Cache events of the engine stand-in, which can be late or lost."""

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
MAX_WAITING_EVENTS = 10_000


@dataclass(frozen=True)
class CacheFaults:
    """Say how an engine misbehaves; times are in seconds."""

    event_delay: float = 0.0
    event_loss: float = 0.0
    load_lag: float = 0.0
    keep_blocks: bool = False


@dataclass(frozen=True)
class Epoch:
    """Name the engine run and the weights that blocks belong to."""

    incarnation: str
    weights_version: str


class EventFeed:
    """Number the cache events and hand them to whoever follows."""

    def __init__(self, faults: CacheFaults) -> None:
        self.faults = faults
        self.sequence = 0
        self._rng = random.Random(SEED)
        self._sinks: list[MemoryObjectSendStream[tuple[float, str]]] = []

    def publish(
        self, epoch: Epoch, stored: Sequence[str], removed: Sequence[str]
    ) -> None:
        """Tell of blocks that were stored and then removed."""
        self.sequence += 1
        if self._rng.random() < self.faults.event_loss:
            return
        line = json.dumps(event_fields(epoch, self.sequence, stored, removed))
        due_at = time.monotonic() + self.faults.event_delay
        for sink in self._sinks:
            sink.send_nowait((due_at, line))

    async def follow(self) -> AsyncIterator[str]:
        """Yield the events from now on as lines."""
        sink, source = anyio.create_memory_object_stream[tuple[float, str]](
            MAX_WAITING_EVENTS
        )
        self._sinks.append(sink)
        try:
            # An empty line opens the answer before the first event.
            yield "\n"
            async for due_at, line in source:
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                yield line + "\n"
        finally:
            self._sinks.remove(sink)
            sink.close()
            source.close()


class LaggingLoad:
    """Report the load as it was some time ago."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._loads: list[tuple[float, int]] = [(0.0, 0)]

    def note(self, running: int) -> None:
        """Note the present load."""
        now = time.monotonic()
        self._loads.append((now, running))
        while len(self._loads) > 1 and self._loads[1][0] <= now - self._lag:
            del self._loads[0]

    def report(self) -> int:
        """Return the load that was in force before the lag."""
        until = time.monotonic() - self._lag
        return [running for at, running in self._loads if at <= until][-1]


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
