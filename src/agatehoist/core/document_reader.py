"""Type-checked reading of decoded documents, with the place of each error."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.core.address import Address, read_address
from agatehoist.core.numbers import MAX_INTEGER, checked_integer
from agatehoist.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MAX_FINDINGS_SHOWN = 20
MAX_TEXT_CHARACTERS = 4096
MAX_SHOWN_CHARACTERS = 40
# Fields hold this for an address that can't be read.
NO_ADDRESS = Address("", 0)


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
            self.add_finding("", f"a mapping expected, got {describe(value)}")
            value = {}
        self._value: dict[str, Any] = value

    def text(self, name: str, default: str | None = None) -> str:
        """Return a printable string."""
        value = self._get(name, default)
        if not _is_text(value):
            self._add_type_finding(name, "a printable string", value)
            return ""
        return value

    def number(
        self, name: str, default: float | None = None, least: float = 0.0
    ) -> float:
        """Return a number that isn't below `least`."""
        if default is not None and not self.has(name):
            return float(default)
        value: Any = self._value.get(name)
        # The comparison also rejects NaN, and integers that no float can hold.
        if type(value) not in (int, float) or not least <= value <= MAX_INTEGER:
            self._add_type_finding(name, f"a number of at least {least:g}", value)
            return 0.0
        return float(value)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a non-negative integer of at most 63 bits."""
        value = self._get(name, default)
        integer = checked_integer(value)
        if integer is None:
            self._add_type_finding(name, "a non-negative integer", value)
            return 0
        return integer

    def first_integer(self, name: str) -> int:
        """Return the first integer of a list; the others are ignored."""
        values = self.items(name)
        integer = checked_integer(values[0]) if values else None
        if integer is None:
            self._add_type_finding(name, "a list of integers", values or None)
            return 0
        return integer

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a boolean."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            self._add_type_finding(name, "true or false", value)
            return default
        return value

    def address(self, name: str) -> Address:
        """Return an address."""
        address = read_address(self.text(name))
        if address is None:
            self._add_type_finding(name, "an address IP:PORT", self._value.get(name))
            return NO_ADDRESS
        return address

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
        for index, value in enumerate(self.items(name)):
            yield MappingReader(value, f"{self.place}{name}[{index}].", self.findings)

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of printable strings; a missing list counts as empty."""
        values = self.items(name)
        for each in values:
            if not _is_text(each):
                self._add_type_finding(name, "a list of printable strings", each)
        return tuple(each for each in values if _is_text(each))

    def items(self, name: str) -> Sequence[Any]:
        """Return a list of any values; a missing list counts as empty."""
        value = self._value.get(name)
        if value is None:
            return []
        if not isinstance(value, list | tuple):
            self._add_type_finding(name, "a list", value)
            return []
        return value

    def add_finding(self, name: str, detail: str) -> None:
        """Add a finding about a field."""
        self.findings.append(Finding(f"{self.place}{name}".rstrip("."), detail))

    def _get(self, name: str, default: Any) -> Any:
        value = self._value.get(name)
        return default if value is None else value

    def _add_type_finding(self, name: str, expected: str, value: Any) -> None:
        self.add_finding(name, f"{expected} expected, got {describe(value)}")


def raise_findings(source: str, findings: list[Finding]) -> None:
    """Raise InvalidDocumentError if there are findings."""
    if findings:
        raise InvalidDocumentError(source, tuple(findings))


def describe(value: Any) -> str:
    """Return a short description of any decoded value for an error."""
    if value is None:
        return "nothing"
    kind = type(value).__name__
    if isinstance(value, str):
        return f"{kind} {value[:MAX_SHOWN_CHARACTERS]!r}"
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"{kind} of {value.bit_length()} bits"
    if isinstance(value, int | float):
        return f"{kind} {value}"
    # What a container holds may be nested too deep to be shown.
    return kind


def _is_text(value: Any) -> bool:
    # Unpaired surrogates and control characters aren't printable.
    return (
        isinstance(value, str)
        and len(value) <= MAX_TEXT_CHARACTERS
        and value.isprintable()
    )
