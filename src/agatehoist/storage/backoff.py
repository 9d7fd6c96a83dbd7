"""Times of retries, spread at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FIRST_DELAY_S = 0.25
MAX_DELAY_S = 8.0


class Backoff:
    """Choose the time of the next retry after each failure in a row."""

    def __init__(
        self,
        rng: random.Random,
        first_delay: float = FIRST_DELAY_S,
        max_delay: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._first_delay = first_delay
        self._max_delay = max_delay
        self._failures = 0

    def retry_at(self, now: float) -> float:
        """Count a failure and return when to try again, in seconds."""
        longest = min(self._max_delay, self._first_delay * 2**self._failures)
        if longest < self._max_delay:
            self._failures += 1
        return now + self._rng.uniform(longest / 2, longest)

    def reset(self) -> None:
        """Note a success."""
        self._failures = 0
