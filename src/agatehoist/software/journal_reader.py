"""Reading of all journals of origins, shared by the requests of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.software.journal import (
    ORIGINS_KIND,
    InvalidJournalError,
    merge_journals,
    read_journal,
)
from agatehoist.storage.errors import PlatformError

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.software.journal import JournaledVersions, JournalEntry
    from agatehoist.storage.objects import StoredValue

logger = get_logger("software")

# The callers wait meanwhile; a reply takes a few milliseconds.
READ_TIMEOUT_S = 0.6


class _Read:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.versions: JournaledVersions | None = None


class JournalReader:
    """Read the journals, one read at a time; all that wait share the next one."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._next_read: _Read | None = None
        self._is_reading = False

    async def read(self) -> JournaledVersions | None:
        """Return what a read yields that begins from now on, None if it fails."""
        read = self._next_read = self._next_read or _Read()
        if not self._is_reading:
            self._is_reading = True
            self._state.spawn(self._read_for_all)
        with anyio.move_on_after(READ_TIMEOUT_S):
            await read.done.wait()
        return read.versions

    async def _read_for_all(self) -> None:
        try:
            while self._next_read is not None:
                read, self._next_read = self._next_read, None
                try:
                    read.versions = await self._list()
                finally:
                    read.done.set()
        finally:
            self._is_reading = False

    async def _list(self) -> JournaledVersions | None:
        try:
            listing = await self._state.store.list(ORIGINS_KIND)
        except PlatformError as error:
            logger.info("origins not read", reason=str(error))
            return None
        journals = (read_stored_journal(each) for each in listing.values)
        return merge_journals(journals, self._state.clock.now())


def read_stored_journal(value: StoredValue) -> dict[str, JournalEntry]:
    """Return the entries of a stored journal; one that can't be read has none."""
    try:
        return read_journal(value.spec)
    except InvalidJournalError as error:
        logger.warning("invalid origins ignored", name=value.name, reason=str(error))
        return {}
