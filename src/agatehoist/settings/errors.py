"""Findings in a file and the error that reports all of them."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.errors import InvalidInputError


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """Describe one fault in a file; line and column are counted from 1."""

    file: str
    line: int
    column: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.text}"


class InvalidFileError(InvalidInputError):
    """Report every fault found in a file."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
