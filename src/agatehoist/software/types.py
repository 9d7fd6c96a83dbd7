"""Types of the shares of new streams that software versions get."""

from __future__ import annotations

from dataclasses import dataclass, field

from agatehoist.storage.revisions import Revision

# Bounds on a stored record, which anybody may have written.
MAX_PERIODS = 64
MAX_VERSIONS = 32
MAX_SOFTWARE_CHARACTERS = 128


@dataclass(frozen=True, slots=True)
class SharePeriod:
    """Hold the shares of new streams by software version, from an epoch time on.

    A version without a share begins no streams; it only continues its own.
    """

    began_at: float
    shares_by_software: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShareRecord:
    """Hold the periods of a service that may still matter, in the order of time.

    The last period is in force. Each record of a service has a higher number than the
    one before.
    """

    service: str
    number: int
    periods: tuple[SharePeriod, ...]


@dataclass(frozen=True, slots=True)
class StoredShares:
    """Hold what the store has for a service; the record is None if it can't be read."""

    record: ShareRecord | None
    revision: Revision
