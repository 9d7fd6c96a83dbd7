"""The software versions at which streams began that a gateway has passed on."""

from __future__ import annotations

import enum
import heapq
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from agatehoist.software.assignment import (
    ADOPTION_S,
    assigned_software,
    possible_software,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.software.types import SharePeriod, ShareRecord

# A busy gateway begins a few hundred streams a second, each with a deadline of 30 s.
MAX_ORIGINS = 16_384


class JournalNeed(enum.Enum):
    """Tell whether other gateways need the journal to know where a stream began."""

    NONE = "none"
    # The record allows several versions, or there is none: without the journal, the
    # stream can't go on elsewhere.
    SOON = "soon"
    # The record, or the one before it, names other versions only: without the journal,
    # the stream would go on there.
    AT_ONCE = "at once"


def journal_need(
    record: ShareRecord | None,
    request_id: str,
    software: str,
    now: float,
    is_unrecorded: bool = False,
) -> JournalNeed:
    """Tell whether a stream that began at a version must be in the journal.

    Without a record, other gateways may have one unless the store has none.
    """
    if record is None:
        return JournalNeed.SOON if is_unrecorded else JournalNeed.AT_ONCE
    possible = possible_software(record, request_id, now)
    if possible == {software}:
        return JournalNeed.NONE
    if software not in possible or not _is_possible_before(
        record, request_id, software, now
    ):
        return JournalNeed.AT_ONCE
    return JournalNeed.SOON


def _is_possible_before(
    record: ShareRecord, request_id: str, software: str, now: float
) -> bool:
    """Tell whether gateways that may lack the last period allow a version too."""
    *earlier, last = record.periods
    if not earlier or now >= last.began_at + ADOPTION_S:
        return True
    before = replace(record, periods=tuple(earlier))
    return software in possible_software(before, request_id, now)


@dataclass(frozen=True, slots=True)
class Origin:
    """Hold the service and the version at which a stream began, until an epoch time."""

    service: str
    software: str
    expires_at: float


class OriginTable:
    """Hold origins by the ids of the requests that brought the first events."""

    def __init__(self, max_origins: int = MAX_ORIGINS) -> None:
        self.by_request_id: dict[str, Origin] = {}
        self._max_origins = max_origins
        # Entries that no longer hold the expiry of their origin are ignored.
        self._expiries: list[tuple[float, str]] = []

    def note(self, request_id: str, origin: Origin, now: float) -> None:
        """Record an origin; drop those that have expired or are too many."""
        self.by_request_id[request_id] = origin
        heapq.heappush(self._expiries, (origin.expires_at, request_id))
        while self._expiries and (
            self._expiries[0][0] <= now
            or len(self.by_request_id) > self._max_origins
            or len(self._expiries) > 2 * self._max_origins
        ):
            self._drop_earliest()

    def find(self, request_id: str, service: str, now: float) -> str | None:
        """Return the version at which a stream of a service began, if it is known."""
        origin = self.by_request_id.get(request_id)
        if origin is None or origin.service != service or origin.expires_at <= now:
            return None
        return origin.software

    def needing_journal(
        self, record: ShareRecord, before: ShareRecord | None, now: float
    ) -> tuple[tuple[str, Origin, JournalNeed], ...]:
        """Return the streams that the journal is needed for by the periods of a record.

        Those of the record before have been considered already.
        """
        known = () if before is None else before.periods
        added = [each for each in record.periods if each not in known]
        found = (
            (request_id, origin, journal_need(record, request_id, origin.software, now))
            for request_id, origin in self.by_request_id.items()
            if origin.service == record.service
            and origin.expires_at > now
            and _is_elsewhere(added, request_id, origin.software)
        )
        return tuple(each for each in found if each[2] is not JournalNeed.NONE)

    def _drop_earliest(self) -> None:
        expires_at, request_id = heapq.heappop(self._expiries)
        origin = self.by_request_id.get(request_id)
        if origin is not None and origin.expires_at == expires_at:
            del self.by_request_id[request_id]


def _is_elsewhere(
    periods: Iterable[SharePeriod], request_id: str, software: str
) -> bool:
    """Tell whether any of the periods assigns a stream to another version."""
    return any(assigned_software(each, request_id) != software for each in periods)
