"""Event queue on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from agatehoist.core.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Run scheduled actions in the order of their times."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = itertools.count()

    def at(self, time: float, action: Callable[[], object]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._queue, (time, next(self._sequence), action))

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay in seconds."""
        self.at(self.clock.now() + delay_s, action)

    def run(self) -> None:
        """Run actions until none is scheduled."""
        while self._queue:
            time, _, action = heapq.heappop(self._queue)
            self.clock.advance_to(time)
            action()
