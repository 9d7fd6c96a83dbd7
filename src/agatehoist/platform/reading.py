"""Checked reading of decoded documents, with the place of each finding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FINDINGS_SHOWN = 20


@dataclass(frozen=True, slots=True)
class Finding:
    """Name a place in a document and what is wrong there."""

    place: str
    detail: str

    def __str__(self) -> str:
        return f"{self.place}: {self.detail}"


class InvalidDocumentError(InvalidInputError):
    """Report all findings of a document together."""

    def __init__(self, source: str, findings: tuple[Finding, ...]) -> None:
        shown = "; ".join(str(each) for each in findings[:MAX_FINDINGS_SHOWN])
        super().__init__(f"{source}: {shown}")
        self.findings = findings


class Reader:
    """Read the fields of one table; findings are shared with its parts."""

    def __init__(self, value: Any, place: str, findings: list[Finding]) -> None:
        self.place = place
        self.findings = findings
        if not isinstance(value, dict):
            self._find("", f"a table is needed, not {_kind(value)}")
            value = {}
        self._value: dict[str, Any] = value

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text."""
        value = self._get(name, default)
        return value if isinstance(value, str) else self._wrong(name, "a text", value)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number of zero or more."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            self._wrong(name, "a number of zero or more", value)
            return 0.0
        return float(value)

    def count(self, name: str, default: int | None = None) -> int:
        """Return a whole number of zero or more."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            self._wrong(name, "a whole number of zero or more", value)
            return 0
        return value

    def first_count(self, name: str) -> int:
        """Return the first of a list of whole numbers."""
        values = self._list(name)
        if not values or type(values[0]) is not int:
            self._wrong(name, "a list of whole numbers", values or None)
            return 0
        return int(values[0])

    def flag(self, name: str, default: bool = False) -> bool:
        """Return true or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            self._wrong(name, "true or false", value)
            return default
        return value

    def address(self, name: str) -> tuple[str, int]:
        """Return the host and the port of an address."""
        host, _, port = self.text(name).rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 1 << 16:
            self._wrong(name, "an address HOST:PORT", self._value.get(name))
            return "", 0
        return host, int(port)

    def has(self, name: str) -> bool:
        """Say whether a field has a value."""
        return self._value.get(name) is not None

    def part(self, name: str) -> Reader:
        """Return the reader of a table inside."""
        return Reader(self._value.get(name), f"{self.place}{name}.", self.findings)

    def parts(self, name: str) -> Iterator[Reader]:
        """Yield the readers of the tables of a list; no list is an empty one."""
        for index, value in enumerate(self._list(name)):
            yield Reader(value, f"{self.place}{name}[{index}].", self.findings)

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; no list is an empty one."""
        values = self._list(name)
        wrong = [each for each in values if not isinstance(each, str)]
        for each in wrong:
            self._wrong(name, "a list of texts", each)
        return tuple(each for each in values if isinstance(each, str))

    def _list(self, name: str) -> list[Any]:
        value = self._value.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            self._wrong(name, "a list", value)
            return []
        return value

    def _get(self, name: str, default: Any) -> Any:
        value = self._value.get(name)
        return default if value is None else value

    def _wrong(self, name: str, needed: str, value: Any) -> str:
        self._find(name, f"{needed} is needed, not {_kind(value)}")
        return ""

    def _find(self, name: str, detail: str) -> None:
        self.findings.append(Finding(f"{self.place}{name}".rstrip("."), detail))


def check(source: str, findings: list[Finding]) -> None:
    """Raise InvalidDocumentError if there are findings."""
    if findings:
        raise InvalidDocumentError(source, tuple(findings))


def _kind(value: Any) -> str:
    return "nothing" if value is None else f"{type(value).__name__} {value!r:.40}"
