"""Acceptance of a change by conditional update."""

from __future__ import annotations

import random
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from agatehoist.configuration.document import Change, Document, Record
from agatehoist.configuration.errors import ChangeConflictError, OutcomeUnknownError
from agatehoist.storage.backoff import Backoff
from agatehoist.storage.errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.configuration.store import ConfigurationStore

# Time to find out whether a write was accepted.
OUTCOME_TIMEOUT_S = 20.0
MAX_REPORTED_CHANGES = 20


async def apply_document(
    store: ConfigurationStore,
    document: Document,
    change: Change,
    outcome_timeout_s: float = OUTCOME_TIMEOUT_S,
) -> Record:
    """Replace the record in force by a new document and return its record.

    Idempotent: a second call with the same change id returns the same record.

    Raises ChangeConflictError, OutcomeUnknownError, PlatformUnavailableError.
    """
    proposed = Record(document.based_on + 1, change, document)
    in_force = await store.read_in_force()
    accepted = await _find_accepted(store, proposed, in_force)
    if accepted is not None:
        return accepted
    if _revision_of(in_force) != document.based_on:
        raise await _conflict(store, document.based_on, in_force)
    if in_force is not None:
        # The record in force is written to the history before it is replaced, since
        # the process that accepted it may have ended before doing so.
        await store.write_history(in_force)
    try:
        await store.replace(proposed)
    except ConflictError:
        in_force = await _read_competing_record(store, proposed, outcome_timeout_s)
        raise await _conflict(store, document.based_on, in_force) from None
    except PlatformUnavailableError:
        await _resolve_write(store, proposed, outcome_timeout_s)
    with suppress(PlatformError):
        await store.write_history(proposed)
    return proposed


async def _read_competing_record(
    store: ConfigurationStore, proposed: Record, outcome_timeout_s: float
) -> Record | None:
    async def read() -> Record | None:
        in_force = await store.read_in_force()
        if _revision_of(in_force) < proposed.revision:
            raise PlatformUnavailableError("the platform returned an outdated record")
        return in_force

    try:
        return await _retry_until_resolved(read, proposed.change, outcome_timeout_s)
    except OutcomeUnknownError:
        return None


async def _resolve_write(
    store: ConfigurationStore, proposed: Record, outcome_timeout_s: float
) -> None:
    async def attempt() -> Record | None:
        """Read first, since the write may have taken effect, then write again."""
        in_force = await store.read_in_force()
        accepted = await _find_accepted(store, proposed, in_force)
        if accepted is not None:
            return accepted
        base = proposed.document.based_on
        if _revision_of(in_force) > base:
            raise await _conflict(store, base, in_force)
        with suppress(ConflictError):
            # After a conflict, the next attempt reads which record was accepted.
            await store.replace(proposed)
            return proposed
        raise PlatformUnavailableError("the record in force changed since it was read")

    await _retry_until_resolved(attempt, proposed.change, outcome_timeout_s)


async def _retry_until_resolved(
    attempt: Callable[[], Awaitable[Record | None]],
    change: Change,
    outcome_timeout_s: float,
) -> Record | None:
    backoff = Backoff(random.Random(change.id))
    give_up_at = anyio.current_time() + outcome_timeout_s
    while True:
        try:
            return await attempt()
        except PlatformUnavailableError as error:
            retry_at = backoff.retry_at(anyio.current_time())
            if retry_at > give_up_at:
                raise OutcomeUnknownError(change.id, str(error)) from error
        await anyio.sleep_until(retry_at)


async def _find_accepted(
    store: ConfigurationStore, proposed: Record, in_force: Record | None
) -> Record | None:
    """Return the accepted record of the same change, even if it was replaced later."""
    if in_force is None or in_force.revision < proposed.revision:
        return None
    found: Record | None = in_force
    if in_force.revision > proposed.revision:
        found = await store.read_revision(proposed.revision)
    if found is not None and found.change.id == proposed.change.id:
        return found
    return None


async def _conflict(
    store: ConfigurationStore, based_on: int, in_force: Record | None
) -> ChangeConflictError:
    first = max(based_on + 1, _revision_of(in_force) - MAX_REPORTED_CHANGES)
    base: Record | None = None
    changes: tuple[Record, ...] = ()
    with suppress(PlatformError):
        base = await store.read_revision(based_on)
        changes = await store.read_history(range(first, _revision_of(in_force)))
    if in_force is not None:
        changes = (*changes, in_force)
    return ChangeConflictError(base, in_force, changes)


def _revision_of(record: Record | None) -> int:
    return record.revision if record is not None else 0
