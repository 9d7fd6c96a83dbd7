"""Journals of the streams whose software version doesn't follow from the shares.

Each node keeps one object in the store. A process of the node that starts later keeps
the entries of the one before.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.core.numbers import checked_integer
from agatehoist.core.units import MS_PER_S
from agatehoist.errors import InvalidInputError
from agatehoist.software.origins import JournalNeed

if TYPE_CHECKING:
    from collections.abc import Iterable

ORIGINS_KIND = "agatehoist-origins"
# An entry takes about 45 bytes.
MAX_ENTRIES = 4096
MAX_SOFTWARE_CHARACTERS = 256
DIGEST_BYTES = 8
MIN_WRITE_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.5
# Of all gateways together, without the entries that can't wait.
MAX_WRITES_PER_S = 60.0


class InvalidJournalError(InvalidInputError):
    """Report a stored object that isn't a journal."""


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Hold the version at which a stream began, until an epoch time."""

    software: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class JournaledVersions:
    """Hold the versions that all journals name, by the digest of the request id."""

    by_digest: Mapping[str, frozenset[str]]

    def of(self, request_id: str) -> frozenset[str]:
        """Return the versions that are named for a stream."""
        return self.by_digest.get(id_digest(request_id), frozenset())

    def all(self) -> frozenset[str]:
        """Return the versions that are named for any stream."""
        return frozenset().union(*self.by_digest.values())


def id_digest(request_id: str) -> str:
    """Return the short form in which journals name a request."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


def write_journal(entries_by_digest: Mapping[str, JournalEntry]) -> dict[str, Any]:
    """Return the stored form of a journal."""
    entries = [
        [digest, each.software, math.ceil(each.expires_at * MS_PER_S)]
        for digest, each in entries_by_digest.items()
    ]
    return {"entries": entries}


def read_journal(spec: Any) -> dict[str, JournalEntry]:
    """Parse a stored journal.

    Raises InvalidJournalError.
    """
    entries = spec.get("entries") if isinstance(spec, dict) else None
    if not isinstance(entries, list) or len(entries) > MAX_ENTRIES:
        raise InvalidJournalError("journal: a list of entries expected")
    return dict(_read_entry(each) for each in entries)


def _read_entry(value: Any) -> tuple[str, JournalEntry]:
    if not isinstance(value, list) or len(value) != 3:
        raise InvalidJournalError("journal: an entry of three fields expected")
    digest, software, expires_ms = value
    is_text = isinstance(digest, str) and isinstance(software, str)
    if not is_text or len(software) > MAX_SOFTWARE_CHARACTERS:
        raise InvalidJournalError("journal: a digest and a short version expected")
    number = checked_integer(expires_ms)
    if number is None or len(digest) != 2 * DIGEST_BYTES:
        raise InvalidJournalError("journal: a digest and a time expected")
    return digest, JournalEntry(software, number / MS_PER_S)


def merge_journals(
    journals: Iterable[Mapping[str, JournalEntry]], now: float
) -> JournaledVersions:
    """Return the versions of all entries that haven't expired."""
    by_digest: dict[str, frozenset[str]] = {}
    for entries_by_digest in journals:
        for digest, each in entries_by_digest.items():
            if each.expires_at > now:
                known = by_digest.get(digest, frozenset())
                by_digest[digest] = known | {each.software}
    return JournaledVersions(by_digest)


class OwnJournal:
    """Gather the entries of this node, and tell when they are due to be written."""

    def __init__(self) -> None:
        self.entries_by_digest: dict[str, JournalEntry] = {}
        # Callers of a process that stops resume their streams at other nodes.
        self.is_stopping = False
        self._need = JournalNeed.NONE
        self._written_at = -math.inf
        self._retry_at = -math.inf

    def add(
        self, request_id: str, software: str, expires_at: float, need: JournalNeed
    ) -> bool:
        """Add or replace an entry; return whether that changed anything."""
        digest, entry = id_digest(request_id), JournalEntry(software, expires_at)
        if self.entries_by_digest.get(digest) == entry:
            return False
        self.entries_by_digest[digest] = entry
        self._raise_need(need)
        return True

    def holds(self, request_id: str) -> bool:
        """Return whether there is an entry for a stream."""
        return id_digest(request_id) in self.entries_by_digest

    def adopt(self, entries_by_digest: Mapping[str, JournalEntry]) -> None:
        """Keep the entries of an earlier process of this node beside the own ones."""
        self.entries_by_digest = {**entries_by_digest, **self.entries_by_digest}

    def due_at(self, nodes: int) -> float:
        """Return the time of the next write, infinity while nothing is new.

        With many nodes, entries without which streams are only refused wait longer.
        """
        if self._need is JournalNeed.NONE:
            return math.inf
        interval_s = MIN_WRITE_INTERVAL_S
        if self._need is JournalNeed.SOON and not self.is_stopping:
            interval_s = max(interval_s, nodes / MAX_WRITES_PER_S)
        return max(self._written_at + interval_s, self._retry_at)

    def begin_write(self, now: float) -> JournalNeed:
        """Record that a write begins; return what it is needed for."""
        need, self._need = self._need, JournalNeed.NONE
        self._written_at = now
        return need

    def note_failed(self, need: JournalNeed, now: float) -> None:
        """Have the entries of a failed write written again a while later."""
        self._raise_need(need)
        self._retry_at = now + RETRY_DELAY_S

    def drop_expired(self, now: float) -> None:
        """Drop expired entries, and those that expire first if there are too many."""
        live = {d: e for d, e in self.entries_by_digest.items() if e.expires_at > now}
        if len(live) > MAX_ENTRIES:
            latest = sorted(live, key=lambda each: live[each].expires_at)[-MAX_ENTRIES:]
            live = {each: live[each] for each in latest}
        self.entries_by_digest = live

    def _raise_need(self, need: JournalNeed) -> None:
        if self._need is not JournalNeed.AT_ONCE and need is not JournalNeed.NONE:
            self._need = need
