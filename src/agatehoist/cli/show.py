"""Commands that show accepted configurations."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import (
    parse_time,
    print_lines,
    require_in_force,
    require_revision,
    run_with_store,
    utc_now,
)
from agatehoist.configuration.report import (
    Handover,
    difference_lines,
    document_text,
    effective_text,
    handover_lines,
    history_lines,
)

if TYPE_CHECKING:
    from datetime import datetime

    from agatehoist.configuration.document import Record
    from agatehoist.configuration.store import ConfigurationStore

HISTORY_BATCH_REVISIONS = 64


@COMMANDS.register("show")
def show(
    platform: str | None = None, settings: str | None = None, document: bool = False
) -> None:
    """Print the configuration in force, or the document to edit and apply.

    The former has its exceptions as comments, with their authors and reasons.
    """
    record = run_with_store(require_in_force, platform, settings)
    text = document_text(record) if document else effective_text(record, utc_now())
    print(text, end="")


@COMMANDS.register("history")
def history(
    platform: str | None = None, settings: str | None = None, count: int = 20
) -> None:
    """Print the last accepted changes and the values that each changed."""
    read = partial(_read_last_records, count=count + 1)
    records = run_with_store(read, platform, settings)
    lines = list(history_lines(records))
    if len(records) > count:
        # The first record was read only to compare the second one with it.
        lines = lines[1:]
    print_lines(lines)


@COMMANDS.register("diff")
def diff(
    before: int, after: int, platform: str | None = None, settings: str | None = None
) -> None:
    """Print the differences between two revisions."""

    async def read(store: ConfigurationStore) -> tuple[Record, Record]:
        return (
            await require_revision(store, before),
            await require_revision(store, after),
        )

    print_lines(difference_lines(*run_with_store(read, platform, settings)))


@COMMANDS.register("handover")
def handover(
    since: str, platform: str | None = None, settings: str | None = None
) -> None:
    """Print a report for the next operator on duty.

    It has the exceptions due now or within 24 h, the changes since a time, and the
    other exceptions.
    """
    since_time = parse_time(since)
    read = partial(_read_records_since, since=since_time)
    records = run_with_store(read, platform, settings)
    print_lines(handover_lines(Handover(records[-1], utc_now(), since_time, records)))


async def _read_last_records(
    store: ConfigurationStore, count: int
) -> tuple[Record, ...]:
    in_force = await require_in_force(store)
    first = max(1, in_force.revision - count + 1)
    earlier = await store.read_history(range(first, in_force.revision))
    return (*earlier, in_force)


async def _read_records_since(
    store: ConfigurationStore, since: datetime
) -> tuple[Record, ...]:
    """Return the records since a time, and at least one before them if there is one."""
    in_force = await require_in_force(store)
    records: tuple[Record, ...] = (in_force,)
    first = in_force.revision
    while first > 1 and records[0].change.accepted_at >= since:
        first, last = max(1, first - HISTORY_BATCH_REVISIONS), first
        batch = await store.read_history(range(first, last))
        if not batch:
            break
        records = (*batch, *records)
    return records
