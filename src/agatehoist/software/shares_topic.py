"""Topic of the records of shares, which gateways watch or read from a watcher."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.errors import AgatehoistError
from agatehoist.gateway.topics import TOPICS, PerObjectTopic, one_object
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import SHARE_CHANGES_TOTAL
from agatehoist.software.records import SHARES_KIND, read_record
from agatehoist.software.types import StoredShares

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import ObjectKinds
    from agatehoist.software.types import ShareRecord
    from agatehoist.storage.objects import Changes, Listing, StoredValue
    from agatehoist.storage.revisions import Revision

logger = get_logger("software")

SHARES_TOPIC = "shares"
# Clocks differ by seconds at most. A period that begins much later would keep all later
# ones from ever being dropped.
MAX_AHEAD_S = 3600.0
# Objects of other services are ignored.
MAX_SERVICES = 256


@TOPICS.register(SHARES_TOPIC)
class SharesTopic(PerObjectTopic):
    """Track the shares of new streams that software versions get."""

    watch_s = 10.0

    def kind(self, kinds: ObjectKinds) -> str:
        """Return the kind of stored object."""
        return SHARES_KIND

    def put(self, state: GatewayState, value: StoredValue) -> None:
        """Apply one object."""
        stored = state.shares.stored_by_service
        if value.name not in stored and len(stored) >= MAX_SERVICES:
            logger.warning("shares ignored, too many services", service=value.name)
            return
        record = _read(state, value)
        state.shares.note_stored(value.name, StoredShares(record, value.revision))
        if record is not None:
            accept_record(state, record, value.revision)

    def replace(self, state: GatewayState, listing: Listing) -> None:
        """Apply a whole list; a record that isn't on it any more has been lost."""
        names = [each.name for each in listing.values]
        state.shares.note_listed(names, listing.revision)
        super().replace(state, listing)

    def change(self, state: GatewayState, changes: Changes) -> None:
        """Apply changes in order; the records that are in force outlast removals."""
        for each in changes.changes:
            if each.removed:
                state.shares.note_removed(each.value.name, changes.revision)
                continue
            with one_object(SHARES_KIND, each.value.name):
                self.put(state, each.value)


def accept_record(state: GatewayState, record: ShareRecord, revision: Revision) -> None:
    """Put a record read or written in force, unless a newer one is."""
    if not state.shares.accept(record):
        return
    period = record.periods[-1]
    SHARE_CHANGES_TOTAL.inc({"service": record.service})
    logger.info(
        "shares in force",
        service=record.service,
        number=record.number,
        shares=period.shares_by_software,
        age_s=round(state.clock.now() - period.began_at, 2),
        periods=len(record.periods),
        revision=str(revision),
    )


def _read(state: GatewayState, value: StoredValue) -> ShareRecord | None:
    """Return a stored record, or None if it can't be used."""
    try:
        record = read_record(value.spec)
    except AgatehoistError as error:
        logger.error("invalid shares ignored", service=value.name, reason=str(error))
        return None
    reason = ""
    if record.service != value.name:
        reason = f"they name the service {record.service}"
    elif record.periods[-1].began_at > state.clock.now() + MAX_AHEAD_S:
        reason = f"they begin at {record.periods[-1].began_at}"
    if reason:
        logger.error("invalid shares ignored", service=value.name, reason=reason)
        return None
    return record
