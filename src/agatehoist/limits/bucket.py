"""Token bucket whose level may fall below zero by the cost of one request."""

from __future__ import annotations

import math

from agatehoist.limits.types import BURST_S, Amount, Ceiling

# In requests or tokens; makes the level positive at the retry time despite rounding.
MIN_POSITIVE_LEVEL = 1e-6


class _ResourceBucket:
    def __init__(self, now: float, burst_s: float) -> None:
        self._burst_s = burst_s
        self.rate: float | None = None
        self.level = 0.0
        self._filled_at = now

    def set_rate(
        self, rate: float | None, now: float, burst_s: float | None = None
    ) -> None:
        if self.rate is None and rate is not None:
            self.level = rate * self._burst_s
            self._filled_at = now
        self.refill(now)
        self.rate = rate
        if burst_s is not None:
            self._burst_s = burst_s

    def skip_to(self, now: float) -> None:
        self._filled_at = max(now, self._filled_at)

    def refill(self, now: float) -> None:
        if self.rate is None:
            return
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self.level = min(self.rate * self._burst_s, self.level + elapsed * self.rate)

    @property
    def available(self) -> float:
        return math.inf if self.rate is None else self.level

    def take(self, amount: float) -> None:
        if self.rate is not None:
            self.level -= amount

    def next_positive_at(self, now: float) -> float:
        if self.rate is None or self.level > 0:
            return now
        return now + (-self.level + MIN_POSITIVE_LEVEL) / self.rate


class Bucket:
    """Admit requests while the levels for both requests and tokens are above zero.

    Over any period it admits at most the rate times the period, plus one burst, plus
    the largest single amount. A burst is what the rate allows in `burst_s`.
    """

    def __init__(self, ceiling: Ceiling, now: float, burst_s: float = BURST_S) -> None:
        self._requests = _ResourceBucket(now, burst_s)
        self._tokens = _ResourceBucket(now, burst_s)
        self.set_ceiling(ceiling, now)

    def set_ceiling(
        self, ceiling: Ceiling, now: float, burst_s: float | None = None
    ) -> None:
        """Apply a new ceiling, and a new burst if given; keep what has been used."""
        self._requests.set_rate(ceiling.requests_per_s, now, burst_s)
        self._tokens.set_rate(ceiling.tokens_per_s, now, burst_s)

    def skip_to(self, now: float) -> None:
        """Add nothing to the levels for the time up to now."""
        self._requests.skip_to(now)
        self._tokens.skip_to(now)

    def available(self, now: float) -> Amount:
        """Return the levels, refilled up to a time in epoch seconds."""
        self._requests.refill(now)
        self._tokens.refill(now)
        return Amount(self._requests.available, self._tokens.available)

    def try_take(self, amount: Amount, now: float) -> bool:
        """Take an amount if both levels are above zero; return whether they were."""
        available = self.available(now)
        if available.requests <= 0 or available.tokens <= 0:
            return False
        self.take(amount)
        return True

    def take(self, amount: Amount) -> None:
        """Take an amount whatever the levels are."""
        self._requests.take(amount.requests)
        self._tokens.take(amount.tokens)

    def refund(self, amount: Amount, now: float) -> None:
        """Return an unused amount to the bucket, up to a level of one burst."""
        self.take(Amount(-max(0.0, amount.requests), -max(0.0, amount.tokens)))
        # Limits the levels to one burst.
        self.available(now)

    def retry_at(self, now: float) -> float:
        """Return when both levels are above zero again, in epoch seconds."""
        return max(
            self._requests.next_positive_at(now), self._tokens.next_positive_at(now)
        )
