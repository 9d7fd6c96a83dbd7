"""Failure rate of each endpoint over the last seconds."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Outcomes are weighted by exponential decay with this half-life.
HALF_LIFE_S = 4.0
# A few endpoints fail some requests in normal operation; a failure share up to this
# bound isn't a sign of a fault.
UNHEALTHY_FAILURE_SHARE = 0.3
# An endpoint with a lower decayed count of outcomes counts as healthy.
MIN_OUTCOMES = 2.0
# Beyond this number, the endpoint without an outcome for the longest time is forgotten.
MAX_ENDPOINTS = 4096


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """Hold counts of outcomes, decayed up to the epoch time `at`."""

    failures: float
    total: float
    at: float


class Health:
    """Detect endpoints that fail part of their requests, from outcomes of attempts."""

    def __init__(self) -> None:
        self._counts_by_lifetime: dict[str, OutcomeCounts] = {}

    def record_outcome(self, lifetime: str, failed: bool, now: float) -> None:
        """Count the outcome of an attempt at an epoch time."""
        counts = self._decayed(lifetime, now)
        self._counts_by_lifetime.pop(lifetime, None)
        self._counts_by_lifetime[lifetime] = OutcomeCounts(
            counts.failures + failed, counts.total + 1, now
        )
        while len(self._counts_by_lifetime) > MAX_ENDPOINTS:
            del self._counts_by_lifetime[next(iter(self._counts_by_lifetime))]

    def is_unhealthy(self, lifetime: str, now: float) -> bool:
        """Return whether an endpoint fails so often that others should be preferred."""
        counts = self._decayed(lifetime, now)
        if counts.total < MIN_OUTCOMES:
            return False
        return counts.failures > UNHEALTHY_FAILURE_SHARE * counts.total

    def _decayed(self, lifetime: str, now: float) -> OutcomeCounts:
        counts = self._counts_by_lifetime.get(lifetime)
        if counts is None:
            return OutcomeCounts(0.0, 0.0, now)
        factor = 0.5 ** (max(0.0, now - counts.at) / HALF_LIFE_S)
        return replace(
            counts, failures=counts.failures * factor, total=counts.total * factor
        )
