"""Exponential backoff with random jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FIRST_DELAY_S = 0.25
MAX_DELAY_S = 8.0


class Backoff:
    """Compute the time of the next retry after each consecutive failure."""

    def __init__(
        self,
        rng: random.Random,
        first_delay_s: float = FIRST_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._first_delay_s = first_delay_s
        self._max_delay_s = max_delay_s
        self._failures = 0

    def retry_at(self, now: float) -> float:
        """Record a failure and return the time of the next retry, in seconds."""
        base_delay_s = min(self._max_delay_s, self._first_delay_s * 2**self._failures)
        if base_delay_s < self._max_delay_s:
            self._failures += 1
        return now + self._rng.uniform(base_delay_s / 2, base_delay_s)

    def reset(self) -> None:
        """Record a success, so that delays start again at the first one."""
        self._failures = 0
