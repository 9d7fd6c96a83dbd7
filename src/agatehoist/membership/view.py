"""Configuration and host list as this process knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.configuration.effective import effective_configuration, next_lapse_at
from agatehoist.configuration.errors import BadRecordError
from agatehoist.configuration.types import FleetConfiguration
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import CONFIGURATION_REVISION

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.configuration.document import Record
    from agatehoist.core.clock import Clock
    from agatehoist.storage.types import HostEntry

logger = get_logger("membership")


class FleetView:
    """Hold the configuration in force and the host list, and notify of changes."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.record: Record | None = None
        self.configuration = FleetConfiguration()
        self.hosts: tuple[HostEntry, ...] = ()
        self.has_hosts = False
        self.on_configuration: list[Callable[[FleetConfiguration], None]] = []
        self.on_hosts: list[Callable[[tuple[HostEntry, ...]], None]] = []
        self._changed = anyio.Event()

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.configuration.revision

    def accept_record(self, record: Record) -> None:
        """Put a record, a document with its revision, in force if that is higher.

        Raises BadRecordError.
        """
        if record.revision <= self.revision:
            return
        try:
            configuration = effective_configuration(record, self.clock.now())
        except Exception as error:
            reason = f"revision {record.revision} can't be converted to a configuration"
            raise BadRecordError(reason) from error
        self.record = record
        self._apply(configuration)
        CONFIGURATION_REVISION.set({}, record.revision)
        logger.info("configuration in force", revision=record.revision)

    def accept_hosts(self, entries: tuple[HostEntry, ...]) -> None:
        """Replace the host list by a newer one."""
        self.hosts = entries
        self.has_hosts = True
        for notify in self.on_hosts:
            notify(entries)
        self._signal_change()
        logger.info("host list updated", hosts=len(entries))

    async def wait_changed(self) -> None:
        """Return once the configuration or the host list has changed."""
        await self._changed.wait()

    async def run_expirations(self) -> None:
        """Recompute the configuration in force whenever one of its exceptions expires.

        An exception is a temporary override in the configuration document.
        """
        while True:
            record, now = self.record, self.clock.now()
            expires_at = next_lapse_at(record.document, now) if record else None
            if expires_at is None:
                await self.wait_changed()
                continue
            with anyio.move_on_after(expires_at - now):
                await self.wait_changed()
            if self.record is record and self.clock.now() >= expires_at:
                assert record is not None
                configuration = effective_configuration(record, self.clock.now())
                self._apply(configuration)
                logger.info("configuration exception expired", revision=record.revision)

    def _apply(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        for notify in self.on_configuration:
            notify(configuration)
        self._signal_change()

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
