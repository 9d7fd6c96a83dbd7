"""Share of the work that failed at each endpoint of late."""

from __future__ import annotations

from dataclasses import dataclass, replace

# What an outcome counts halves in this time.
HALF_LIFE_S = 4.0
# A few endpoints fail some requests by themselves; these shares are no sign.
SICK_SHARE = 0.3
MIN_WEIGHT = 2.0
MAX_ENDPOINTS = 4096


@dataclass(frozen=True, slots=True)
class Record:
    """Hold faded counts as of an epoch time."""

    failures: float
    total: float
    at: float


class Health:
    """Find endpoints that fail part of their work, from outcomes alone."""

    def __init__(self) -> None:
        self._records_by_lifetime: dict[str, Record] = {}

    def note(self, lifetime: str, failed: bool, now: float) -> None:
        """Count the outcome of an attempt."""
        record = self._faded(lifetime, now)
        self._records_by_lifetime.pop(lifetime, None)
        self._records_by_lifetime[lifetime] = Record(
            record.failures + failed, record.total + 1, now
        )
        while len(self._records_by_lifetime) > MAX_ENDPOINTS:
            del self._records_by_lifetime[next(iter(self._records_by_lifetime))]

    def is_sick(self, lifetime: str, now: float) -> bool:
        """Say whether an endpoint fails so much that others are better."""
        record = self._faded(lifetime, now)
        if record.total < MIN_WEIGHT:
            return False
        return record.failures > SICK_SHARE * record.total

    def _faded(self, lifetime: str, now: float) -> Record:
        record = self._records_by_lifetime.get(lifetime)
        if record is None:
            return Record(0.0, 0.0, now)
        kept = 0.5 ** (max(0.0, now - record.at) / HALF_LIFE_S)
        return replace(
            record, failures=record.failures * kept, total=record.total * kept
        )
