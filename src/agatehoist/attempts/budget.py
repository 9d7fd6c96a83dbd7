"""Limits on how often and how soon work is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

RETRY_SHARE = 0.2
RETRY_RESERVE = 20.0
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0


class RetryBudget:
    """Allow retries as a share of the requests seen, with a small reserve."""

    def __init__(
        self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve; what was spent stays spent."""
        self._balance = min(reserve, max(0.0, self._balance + reserve - self._reserve))
        self._reserve = reserve

    def note_request(self) -> None:
        """Count a request, which earns its share of a retry."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Take one retry from the budget and say whether it was there."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def backoff_until(now: float, failures: int, rng: random.Random) -> float:
    """Return the epoch time of the next try, with full jitter."""
    ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return now + rng.uniform(0, ceiling)
