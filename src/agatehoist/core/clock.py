"""Clocks that give the time as seconds since the Unix epoch."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time in seconds since the Unix epoch."""

    def now(self) -> float:
        """Return the current time in seconds."""


class SystemClock:
    """Tell the time without the steps of the wall clock.

    The time that the machine was suspended counts: a lease may run out meanwhile.
    """

    def __init__(self) -> None:
        self._epoch = time.time() - _since_boot()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._epoch + _since_boot()


class ManualClock:
    """Tell the time that a test or a replay has set."""

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance_to(self, now: float) -> None:
        """Set the time in seconds; the time never goes back."""
        self._now = max(self._now, now)


def _since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
