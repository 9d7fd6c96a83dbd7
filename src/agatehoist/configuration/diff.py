"""Differences between two documents."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.configuration.encoding import document_value

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.configuration.document import Document

IGNORED_KEYS = ("based_on",)


class DifferenceKind(enum.StrEnum):
    """Tell how a value differs between two documents."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class Difference:
    """Describe one value that differs; dots separate the keys of its path."""

    kind: DifferenceKind
    path: str
    before: Any = None
    after: Any = None

    def __str__(self) -> str:
        if self.kind is DifferenceKind.ADDED:
            return f"+ {self.path}: {_render(self.after)}"
        if self.kind is DifferenceKind.REMOVED:
            return f"- {self.path}: {_render(self.before)}"
        return f"~ {self.path}: {_render(self.before)} -> {_render(self.after)}"


def diff_documents(
    before: Document | None, after: Document | None
) -> tuple[Difference, ...]:
    """Return the differences, sorted by path."""
    return tuple(
        compare_values("", _comparable_value(before), _comparable_value(after))
    )


def compare_values(path: str, before: Any, after: Any) -> Iterator[Difference]:
    """Yield the differences between two nested mappings, sorted by path."""
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield Difference(DifferenceKind.CHANGED, path, before, after)
        return
    for key in sorted({*before, *after}):
        key_path = f"{path}.{key}" if path else str(key)
        if key not in before:
            yield Difference(DifferenceKind.ADDED, key_path, after=after[key])
        elif key not in after:
            yield Difference(DifferenceKind.REMOVED, key_path, before=before[key])
        else:
            yield from compare_values(key_path, before[key], after[key])


def _comparable_value(document: Document | None) -> dict[str, Any]:
    if document is None:
        return {}
    value = document_value(document)
    for key in IGNORED_KEYS:
        del value[key]
    # Keyed by name, so that a different order of exceptions is no difference.
    value["exceptions"] = {each["name"]: each for each in value["exceptions"]}
    return value


def _render(value: Any) -> str:
    if isinstance(value, dict):
        entries = ", ".join(f"{key}: {_render(each)}" for key, each in value.items())
        return f"{{{entries}}}"
    if isinstance(value, list | tuple):
        return f"[{', '.join(_render(each) for each in value)}]"
    return str(value)
