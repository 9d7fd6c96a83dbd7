"""Storage of the configuration and its history in the platform."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from agatehoist.configuration.encoding import parse_record, record_value
from agatehoist.storage.budget import Purpose
from agatehoist.storage.errors import ConflictError, ObjectNotFoundError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agatehoist.configuration.document import Record
    from agatehoist.storage.client import PlatformClient

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "fleet"
HISTORY_KIND = "configuration_history"
MAX_HISTORY_RECORDS = 3000
MAX_CONCURRENT_READS = 8


class ConfigurationStore:
    """Read and write configuration records on behalf of an operator."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def read_in_force(self) -> Record | None:
        """Return the record in force, or None if none was accepted yet.

        Raises PlatformUnavailableError or BadRecordError.
        """
        try:
            found = await self._platform.get(
                CONFIGURATION_KIND, CONFIGURATION_NAME, Purpose.OPERATOR
            )
        except ObjectNotFoundError:
            return None
        return parse_record(found.value, found.version)

    async def replace(self, record: Record) -> None:
        """Replace the record in force by the record of the next revision.

        Raises ConflictError or PlatformUnavailableError.
        """
        await self._platform.put(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            record_value(record),
            record.revision - 1,
            Purpose.OPERATOR,
        )

    async def read_revision(self, revision: int) -> Record | None:
        """Return a record of the history, or None if it isn't stored.

        Raises PlatformUnavailableError or BadRecordError.
        """
        try:
            found = await self._platform.get(
                HISTORY_KIND, _history_name(revision), Purpose.OPERATOR
            )
        except ObjectNotFoundError:
            return None
        return parse_record(found.value, revision)

    async def read_history(self, revisions: Sequence[int]) -> tuple[Record, ...]:
        """Return the stored records of the revisions, in ascending order.

        Raises PlatformUnavailableError or BadRecordError.
        """
        records_by_revision: dict[int, Record] = {}
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)

        async def read(revision: int) -> None:
            async with limiter:
                record = await self.read_revision(revision)
            if record is not None:
                records_by_revision[revision] = record

        async with anyio.create_task_group() as task_group:
            for revision in revisions:
                task_group.start_soon(read, revision)
        return tuple(records_by_revision[each] for each in sorted(records_by_revision))

    async def write_history(self, record: Record) -> None:
        """Add a record to the history and delete the one that exceeds the limit.

        Raises PlatformUnavailableError.
        """
        with suppress(ConflictError):
            await self._platform.put(
                HISTORY_KIND,
                _history_name(record.revision),
                record_value(record),
                0,
                Purpose.OPERATOR,
            )
        oldest = record.revision - MAX_HISTORY_RECORDS
        if oldest > 0:
            with suppress(ObjectNotFoundError):
                await self._platform.delete(
                    HISTORY_KIND, _history_name(oldest), Purpose.OPERATOR
                )


def _history_name(revision: int) -> str:
    return f"{revision:010d}"
