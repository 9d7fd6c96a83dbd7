"""Text reports on the configuration for operators."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import yaml

from agatehoist.configuration.diff import diff_documents
from agatehoist.configuration.document import Record
from agatehoist.configuration.effective import effective_configuration
from agatehoist.configuration.encoding import document_value
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from agatehoist.configuration.document import PolicyException

DUE_SOON = timedelta(hours=24)

_converter = make_converter()


@dataclass(frozen=True, slots=True)
class Handover:
    """Hold the input of a report for the handover between operator shifts."""

    record: Record
    now: datetime
    since: datetime
    # The records accepted since then, preceded by the one that was in force before.
    records: tuple[Record, ...]


def document_text(record: Record) -> str:
    """Return the document as YAML text from which the next change can be edited."""
    value = document_value(record.document)
    value["based_on"] = record.revision
    return yaml.safe_dump({"based_on": value.pop("based_on"), **value}, sort_keys=False)


def effective_text(record: Record, now: datetime) -> str:
    """Return the configuration in force as YAML, with its exceptions as comments."""
    configuration = effective_configuration(record, now.timestamp())
    lines = [f"# {_headline(record)}"]
    for each in record.document.exceptions:
        lines += [f"# {line}" for line in exception_lines(each, now)]
    value = _converter.unstructure(configuration)
    return "\n".join(lines) + "\n" + yaml.safe_dump(value, sort_keys=False)


def history_lines(records: Sequence[Record]) -> Iterator[str]:
    """Yield the accepted changes with their differences, oldest first."""
    for index, record in enumerate(records):
        yield _headline(record)
        if index:
            yield from difference_lines(records[index - 1], record)


def difference_lines(before: Record | None, after: Record) -> Iterator[str]:
    """Yield the differences between two records."""
    earlier = before.document if before is not None else None
    for each in diff_documents(earlier, after.document):
        yield f"    {each}"


def handover_lines(handover: Handover) -> Iterator[str]:
    """Yield the due exceptions, the changes and the other exceptions."""
    now = handover.now
    exceptions = handover.record.document.exceptions
    yield f"in force: {_headline(handover.record)}"
    yield ""
    due = [each for each in exceptions if each.is_due(now + DUE_SOON)]
    yield f"due now or within {DUE_SOON.total_seconds() / 3600:.0f} h: {len(due)}"
    for each in due:
        yield from _indented(exception_lines(each, now))
    changes = [
        each for each in handover.records if _is_accepted_since(each, handover.since)
    ]
    yield f"changes since {handover.since.isoformat()}: {len(changes)}"
    yield from _indented(_change_history(handover))
    others = [each for each in exceptions if each not in due]
    yield f"other exceptions: {len(others)}"
    for each in others:
        yield from _indented(exception_lines(each, now))


def exception_lines(exception: PolicyException, now: datetime) -> Iterator[str]:
    """Yield the values, state, author and reason of an exception."""
    values = ", ".join(
        f"{field} = {value}" for field, value in exception.values_by_field.items()
    )
    yield f"{exception.name}: {exception.target}: {values} ({_state(exception, now)})"
    yield f"  {exception.author}: {exception.reason}"


def _change_history(handover: Handover) -> Iterator[str]:
    before: Record | None = None
    for record in handover.records:
        if _is_accepted_since(record, handover.since):
            yield _headline(record)
            if before is not None or record.revision == 1:
                yield from difference_lines(before, record)
        before = record


def _is_accepted_since(record: Record, since: datetime) -> bool:
    return record.change.accepted_at >= since


def _state(exception: PolicyException, now: datetime) -> str:
    if exception.deadline is None:
        return "no deadline"
    moment = exception.deadline.astimezone(UTC).isoformat()
    if not exception.is_in_force(now):
        return f"lapsed at {moment}"
    if exception.is_due(now):
        return f"in force, review due since {moment}"
    return f"in force, {exception.at_deadline} at {moment}"


def _headline(record: Record) -> str:
    change = record.change
    moment = change.accepted_at.astimezone(UTC).isoformat(timespec="seconds")
    return f"revision {record.revision} at {moment} by {change.author}: {change.reason}"


def _indented(lines: Iterator[str]) -> Iterator[str]:
    for line in lines:
        yield f"  {line}"
