"""Token bucket that may go below zero by one request."""

from __future__ import annotations

import math

from agatehoist.limits.types import BURST_S, Amount, Ceiling

MIN_LEVEL = 1e-6


class _Meter:
    def __init__(self, now: float) -> None:
        self.rate: float | None = None
        self.level = 0.0
        self._filled_at = now

    def set_rate(self, rate: float | None, now: float) -> None:
        if self.rate is None and rate is not None:
            self.level = rate * BURST_S
            self._filled_at = now
        self.refill(now)
        self.rate = rate

    def refill(self, now: float) -> None:
        if self.rate is None:
            return
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self.level = min(self.rate * BURST_S, self.level + elapsed * self.rate)

    @property
    def free(self) -> float:
        return math.inf if self.rate is None else self.level

    def take(self, amount: float) -> None:
        if self.rate is not None:
            self.level -= amount

    def positive_at(self, now: float) -> float:
        if self.rate is None or self.level > 0:
            return now
        return now + (-self.level + MIN_LEVEL) / self.rate


class Bucket:
    """Admit while the level of both meters is above zero.

    Over any period it admits at most the rate times the period, one burst and the
    largest single amount.
    """

    def __init__(self, ceiling: Ceiling, now: float) -> None:
        self._requests = _Meter(now)
        self._tokens = _Meter(now)
        self.set_ceiling(ceiling, now)

    def set_ceiling(self, ceiling: Ceiling, now: float) -> None:
        """Take a new ceiling; what was used stays used."""
        self._requests.set_rate(ceiling.requests_per_s, now)
        self._tokens.set_rate(ceiling.tokens_per_s, now)

    def free(self, now: float) -> Amount:
        """Return the levels at an epoch time."""
        self._requests.refill(now)
        self._tokens.refill(now)
        return Amount(self._requests.free, self._tokens.free)

    def try_take(self, amount: Amount, now: float) -> bool:
        """Take an amount and say whether the levels allowed it."""
        free = self.free(now)
        if free.requests <= 0 or free.tokens <= 0:
            return False
        self.take(amount)
        return True

    def take(self, amount: Amount) -> None:
        """Take an amount in any case."""
        self._requests.take(amount.requests)
        self._tokens.take(amount.tokens)

    def give_back(self, amount: Amount, now: float) -> None:
        """Put back what was taken and not used, up to one burst."""
        self.take(Amount(-max(0.0, amount.requests), -max(0.0, amount.tokens)))
        self.free(now)

    def retry_at(self, now: float) -> float:
        """Return when the levels are above zero again, as an epoch time."""
        return max(self._requests.positive_at(now), self._tokens.positive_at(now))
