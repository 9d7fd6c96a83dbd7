"""Clocks that give the time as seconds since the Unix epoch."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time in seconds since the Unix epoch."""

    def now(self) -> float:
        """Return the current time in seconds."""


class SystemClock:
    """Tell the time, unaffected by adjustments of the wall clock.

    Includes the time that the machine is suspended, since leases expire meanwhile.
    """

    def __init__(self) -> None:
        self._epoch = time.time() - _seconds_since_boot()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._epoch + _seconds_since_boot()


class ManualClock:
    """Tell the time that a test or a replay sets."""

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance_to(self, now: float) -> None:
        """Set the time in seconds; an earlier time than the current one is ignored."""
        self._now = max(self._now, now)


def _seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
