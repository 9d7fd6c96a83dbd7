"""Type-checked reading of decoded documents, with the place of each error."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FINDINGS_SHOWN = 20


@dataclass(frozen=True, slots=True)
class Finding:
    """Hold the place of an error in a document and a description of it."""

    place: str
    detail: str

    def __str__(self) -> str:
        return f"{self.place}: {self.detail}"


class InvalidDocumentError(InvalidInputError):
    """Report all errors in a document together."""

    def __init__(self, source: str, findings: tuple[Finding, ...]) -> None:
        shown = "; ".join(str(each) for each in findings[:MAX_FINDINGS_SHOWN])
        super().__init__(f"{source}: {shown}")
        self.findings = findings


class MappingReader:
    """Read the fields of one mapping; nested readers add to the same findings."""

    def __init__(self, value: Any, place: str, findings: list[Finding]) -> None:
        self.place = place
        self.findings = findings
        if not isinstance(value, dict):
            self._add_finding("", f"a mapping expected, got {_describe(value)}")
            value = {}
        self._value: dict[str, Any] = value

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._get(name, default)
        return (
            value
            if isinstance(value, str)
            else self._add_type_finding(name, "a string", value)
        )

    def number(self, name: str, default: float | None = None) -> float:
        """Return a non-negative number."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            self._add_type_finding(name, "a non-negative number", value)
            return 0.0
        return float(value)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a non-negative integer."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            self._add_type_finding(name, "a non-negative integer", value)
            return 0
        return value

    def first_integer(self, name: str) -> int:
        """Return the first integer of a list; the others are ignored."""
        values = self._list(name)
        if not values or type(values[0]) is not int:
            self._add_type_finding(name, "a list of integers", values or None)
            return 0
        return int(values[0])

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a boolean."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            self._add_type_finding(name, "true or false", value)
            return default
        return value

    def address(self, name: str) -> tuple[str, int]:
        """Return the host and the port of an address."""
        host, _, port = self.text(name).rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 1 << 16:
            self._add_type_finding(name, "an address HOST:PORT", self._value.get(name))
            return "", 0
        return host, int(port)

    def has(self, name: str) -> bool:
        """Return whether a field has a value other than null."""
        return self._value.get(name) is not None

    def mapping(self, name: str) -> MappingReader:
        """Return a reader of a nested mapping."""
        return MappingReader(
            self._value.get(name), f"{self.place}{name}.", self.findings
        )

    def mappings(self, name: str) -> Iterator[MappingReader]:
        """Yield a reader for each mapping in a list; a missing list counts as empty."""
        for index, value in enumerate(self._list(name)):
            yield MappingReader(value, f"{self.place}{name}[{index}].", self.findings)

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; a missing list counts as empty."""
        values = self._list(name)
        wrong = [each for each in values if not isinstance(each, str)]
        for each in wrong:
            self._add_type_finding(name, "a list of strings", each)
        return tuple(each for each in values if isinstance(each, str))

    def _list(self, name: str) -> list[Any]:
        value = self._value.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            self._add_type_finding(name, "a list", value)
            return []
        return value

    def _get(self, name: str, default: Any) -> Any:
        value = self._value.get(name)
        return default if value is None else value

    def _add_type_finding(self, name: str, expected: str, value: Any) -> str:
        """Add a finding; return the value that stands for an invalid string."""
        self._add_finding(name, f"{expected} expected, got {_describe(value)}")
        return ""

    def _add_finding(self, name: str, detail: str) -> None:
        self.findings.append(Finding(f"{self.place}{name}".rstrip("."), detail))


def raise_findings(source: str, findings: list[Finding]) -> None:
    """Raise InvalidDocumentError if there are findings."""
    if findings:
        raise InvalidDocumentError(source, tuple(findings))


def _describe(value: Any) -> str:
    return "nothing" if value is None else f"{type(value).__name__} {value!r:.40}"
