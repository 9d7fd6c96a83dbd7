"""Command that submits a configuration file for acceptance."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.operators import (
    EXIT_CONFLICT,
    EXIT_OUTCOME_UNKNOWN,
    UsageError,
    exit_with_error,
    print_lines,
    run_with_store,
    utc_now,
)
from agatehoist.configuration.acceptance import apply_document
from agatehoist.configuration.check import load_document
from agatehoist.configuration.document import Change, Record
from agatehoist.configuration.errors import ChangeConflictError, OutcomeUnknownError
from agatehoist.configuration.report import difference_lines, history_lines
from agatehoist.core.identity import new_incarnation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.configuration.document import Document
    from agatehoist.configuration.store import ConfigurationStore


@COMMANDS.register("apply")
def apply(
    file: str,
    author: str,
    reason: str,
    platform: str | None = None,
    settings: str | None = None,
    change_id: str | None = None,
    dry_run: bool = False,
) -> None:
    """Show what a configuration file changes, and submit it for acceptance.

    Exits with status 2 on findings (invalid values in the file), 3 if another change
    was accepted first, and 4 if the outcome is unknown; the file may then be applied
    again with the same change id.
    """
    document = load_document(str(file))
    author, reason = str(author).strip(), str(reason).strip()
    if not author or not reason:
        raise UsageError("--author and --reason must not be empty")
    # A change id only has to be unique.
    change = Change(str(change_id or new_incarnation()), author, reason, utc_now())
    run = partial(_apply, document=document, change=change, dry_run=dry_run)
    try:
        run_with_store(run, platform, settings)
    except ChangeConflictError as error:
        exit_with_error(EXIT_CONFLICT, _conflict_lines(document, error))
    except OutcomeUnknownError as error:
        retry = f"apply the file again with --change-id {error.change_id}"
        exit_with_error(EXIT_OUTCOME_UNKNOWN, [f"agatehoist: {error}", retry])


async def _apply(
    store: ConfigurationStore, document: Document, change: Change, dry_run: bool
) -> None:
    in_force = await store.read_in_force()
    if in_force is None or in_force.revision == document.based_on:
        proposed_lines = list(_proposal_lines(in_force, document, change))
        print_lines(proposed_lines or ["nothing changes"])
        if dry_run or not proposed_lines:
            return
    # If the file is based on another revision, apply_document reports the conflict, or
    # returns the record of this change if it was accepted before.
    record = await apply_document(store, document, change)
    print(f"accepted as revision {record.revision}, change {change.id}")
    print(f"the next file starts with based_on: {record.revision}")


def _proposal_lines(
    in_force: Record | None, document: Document, change: Change
) -> Iterator[str]:
    return difference_lines(in_force, Record(document.based_on + 1, change, document))


def _conflict_lines(document: Document, error: ChangeConflictError) -> Iterator[str]:
    yield f"agatehoist: not accepted; the file is based on {document.based_on}"
    if error.winner is None:
        yield "another change was accepted that can't be read yet"
        return
    yield f"revision {error.winner.revision} is in force; since then:"
    records = [error.base] if error.base is not None else []
    lines = history_lines([*records, *error.changes])
    # The first line describes the base, which is only there to be compared with.
    for index, line in enumerate(lines):
        if index or not records:
            yield f"  {line}"
    yield "start again from: agatehoist show --document"
