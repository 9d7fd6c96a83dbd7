"""Local view of the shares of new streams that software versions get."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from agatehoist.software.types import ShareRecord, StoredShares
    from agatehoist.storage.revisions import Revision


class SharesView:
    """Hold the newest known record of each service, and what the store has for it."""

    def __init__(self) -> None:
        self.records_by_service: dict[str, ShareRecord] = {}
        self.stored_by_service: dict[str, StoredShares] = {}
        # Called with each record that is taken over, and the one before.
        self.on_accepted: Callable[[ShareRecord, ShareRecord | None], None] = (
            lambda _record, _before: None
        )

    def accept(self, record: ShareRecord) -> bool:
        """Take over a record unless a newer one is known; return whether it was new."""
        known = self.records_by_service.get(record.service)
        if known is not None and known.number >= record.number:
            return False
        self.records_by_service[record.service] = record
        self.on_accepted(record, known)
        return True

    def note_stored(self, service: str, stored: StoredShares) -> None:
        """Record what the store has for a service, unless something later is known."""
        known = self.stored_by_service.get(service)
        if known is None or known.revision <= stored.revision:
            self.stored_by_service[service] = stored

    def note_removed(self, service: str, revision: Revision) -> None:
        """Record that the store has nothing for a service as of a revision."""
        known = self.stored_by_service.get(service)
        if known is not None and known.revision <= revision:
            del self.stored_by_service[service]

    def note_listed(self, services: Iterable[str], revision: Revision) -> None:
        """Record that the store has nothing for any other service as of a revision."""
        for service in self.stored_by_service.keys() - set(services):
            self.note_removed(service, revision)

    def is_stored(self, service: str) -> bool:
        """Return whether the store has the known record; a restored one may not."""
        stored = self.stored_by_service.get(service)
        known = self.records_by_service.get(service)
        return (
            stored is not None
            and stored.record is not None
            and (stored.record == known)
        )
