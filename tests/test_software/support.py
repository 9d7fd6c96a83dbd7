"""Records of shares, and ids that they assign to the versions of a test."""

from __future__ import annotations

import itertools

from agatehoist.software.assignment import assigned_software
from agatehoist.software.types import SharePeriod, ShareRecord

SERVICE = "engines"
OLD, NEW = "v1", "v2"
NOW = 1000.0
ONLY_OLD, ONLY_NEW = {OLD: 1.0}, {NEW: 1.0}
HALVES = {OLD: 1.0, NEW: 1.0}


def record_of(
    *periods: tuple[float, dict[str, float]], number: int = 1, at: float = NOW
) -> ShareRecord:
    """Return a record from the ages and the shares of its periods."""
    return ShareRecord(
        SERVICE,
        number,
        tuple(SharePeriod(at - age_s, shares) for age_s, shares in periods),
    )


def request_id_of(software: str) -> str:
    """Return an id that equal shares assign to a version."""
    period = SharePeriod(0.0, HALVES)
    ids = (f"r{number}" for number in itertools.count(100))
    return next(each for each in ids if assigned_software(period, each) == software)
