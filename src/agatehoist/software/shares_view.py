"""Local view of the shares of new streams that software versions get."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.software.types import ShareRecord


class SharesView:
    """Hold the newest known record of each service."""

    def __init__(self) -> None:
        self.records_by_service: dict[str, ShareRecord] = {}

    def accept(self, record: ShareRecord) -> bool:
        """Take over a record unless a newer one is known; return whether it was new."""
        known = self.records_by_service.get(record.service)
        if known is not None and known.number >= record.number:
            return False
        self.records_by_service[record.service] = record
        return True
