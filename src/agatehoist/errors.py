"""Base classes of errors."""

from __future__ import annotations


class AgatehoistError(Exception):
    """Base of the errors that agatehoist raises."""


class UnknownNameError(AgatehoistError):
    """Report a name that isn't registered."""

    def __init__(self, kind: str, name: object, known: tuple[object, ...]) -> None:
        listed = ", ".join(sorted(str(each) for each in known))
        super().__init__(f"unknown {kind} {name!r}; known: {listed}")
        self.kind = kind
        self.name = name
        self.known = known


class InvalidInputError(AgatehoistError):
    """Base of the errors that report where a file or document is invalid."""
