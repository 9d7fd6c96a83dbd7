"""Clocks that give the time as seconds since the Unix epoch."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time in seconds since the Unix epoch."""

    def now(self) -> float:
        """Return the current time in seconds."""


class SystemClock:
    """Tell the wall-clock time of the start plus the time elapsed since.

    Later adjustments of the wall clock have no effect. Time for which the machine is
    suspended counts as elapsed, since leases expire meanwhile.
    """

    def __init__(self) -> None:
        self._epoch = time.time() - _seconds_since_boot()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._epoch + _seconds_since_boot()


class ManualClock:
    """Tell the time that a test or a replay of recorded requests sets."""

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
