"""Writing of this node's journal of origins, in batches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.wakeup import Wakeup
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import JOURNALED_STREAMS_TOTAL
from agatehoist.software.journal import ORIGINS_KIND, OwnJournal, write_journal
from agatehoist.software.journal_reader import read_stored_journal
from agatehoist.storage.errors import ObjectNotFoundError, PlatformError

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.software.origins import JournalNeed
    from agatehoist.software.types import ShareRecord
    from agatehoist.storage.revisions import Revision

logger = get_logger("software")


class JournalWriter:
    """Keep the origins that other gateways can't derive in the object of this node."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._journal = OwnJournal()
        self._changed = Wakeup()
        # That of the object as last read or written here, None if it isn't known.
        self._revision: Revision | None = None

    def holds(self, request_id: str) -> bool:
        """Return whether the journal names a stream."""
        return self._journal.holds(request_id)

    def add(
        self, request_id: str, software: str, expires_at: float, need: JournalNeed
    ) -> None:
        """Have an origin written with the next batch."""
        if self._journal.add(request_id, software, expires_at, need):
            JOURNALED_STREAMS_TOTAL.inc({"need": need.value})
            self._changed.set()

    def note_stop(self) -> None:
        """Write without delay from now on, as streams are about to be cut."""
        self._journal.is_stopping = True
        self._changed.set()

    def note_record(self, record: ShareRecord, before: ShareRecord | None) -> None:
        """Add the streams under way that have become ambiguous by a new record."""
        now = self._state.clock.now()
        streams = self._state.origins.needing_journal(record, before, now)
        for request_id, origin, need in streams:
            self.add(request_id, origin.software, origin.expires_at, need)

    async def run(self) -> None:
        """Write each batch when it is due, until cancelled."""
        while True:
            now = self._state.clock.now()
            due_at = self._journal.due_at(len(self._state.nodes))
            if due_at > now:
                await self._changed.wait(due_at - now)
                continue
            need = self._journal.begin_write(now)
            self._journal.drop_expired(now)
            try:
                await self._write()
            except PlatformError as error:
                logger.info("origins not written", reason=str(error))
                # Another process of this node may have written the object.
                self._revision = None
                self._journal.note_failed(need, self._state.clock.now())

    async def _write(self) -> None:
        store, name = self._state.store, self._state.settings.node
        if self._revision is None:
            self._revision = await self._adopt_stored()
            self._journal.drop_expired(self._state.clock.now())
        spec = write_journal(self._journal.entries_by_digest)
        if self._revision is None:
            stored = await store.create(ORIGINS_KIND, name, spec)
        else:
            stored = await store.replace(ORIGINS_KIND, name, spec, self._revision)
        self._revision = stored.revision

    async def _adopt_stored(self) -> Revision | None:
        """Keep the entries of an earlier process; return the revision of its object."""
        try:
            stored = await self._state.store.get(
                ORIGINS_KIND, self._state.settings.node
            )
        except ObjectNotFoundError:
            return None
        self._journal.adopt(read_stored_journal(stored))
        return stored.revision
