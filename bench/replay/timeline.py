"""Virtual clock and the actions due on it."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from agatehoist.core.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Run actions at their times, in order."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._due: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def at(self, time: float, action: Callable[[], object]) -> None:
        """Run an action at a time in seconds."""
        heapq.heappush(self._due, (time, next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Run an action after a delay."""
        self.at(self.clock.now() + delay_s, action)

    def run(self) -> None:
        """Run until nothing is due."""
        while self._due:
            time, _, action = heapq.heappop(self._due)
            self.clock.advance_to(time)
            action()
