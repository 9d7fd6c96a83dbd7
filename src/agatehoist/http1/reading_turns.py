"""Share of the event loop that the reading of large bodies may take."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Share of the time that is spent on large bodies while several are being read.
READING_SHARE = 0.5
# Shorter pauses than a millisecond can't be made.
MIN_PAUSE_S = 0.002


def pause_for(busy_s: float, waiting: int) -> float:
    """Return how long to leave the event loop to others after reading for a time.

    Handles many callers that send large bodies at once, which cost far more than
    ordinary requests; a single large body is read without pauses.
    """
    pause_s = busy_s * (1 / READING_SHARE - 1)
    return pause_s if waiting and pause_s >= MIN_PAUSE_S else 0.0


class ReadingTurns:
    """Let one large body be read at a time, in the order in which data arrived.

    In one pass of the event loop at most one of them is read, so what is ready besides
    waits for one piece of a body and not for one of each.
    """

    def __init__(self) -> None:
        self._lock = anyio.Lock()
        self._busy_s = 0.0

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Wait for a turn, and hold it until the context exits."""
        async with self._lock:
            began_at = time.perf_counter()
            try:
                yield
            finally:
                self._busy_s += time.perf_counter() - began_at
            waiting = self._lock.statistics().tasks_waiting
            if not waiting:
                self._busy_s = 0.0
            pause_s = pause_for(self._busy_s, waiting)
            if pause_s:
                self._busy_s = 0.0
                await anyio.sleep(pause_s)
