"""Base classes of errors."""

from __future__ import annotations


class AgatehoistError(Exception):
    """Base of the errors that agatehoist raises."""


class UnknownNameError(AgatehoistError):
    """Report a name that isn't registered."""

    def __init__(self, registry: str, name: object, known: tuple[object, ...]) -> None:
        listed = ", ".join(sorted(str(each) for each in known))
        super().__init__(f"unknown {registry} {name!r}; known: {listed}")
        self.registry = registry
        self.name = name
        self.known = known


class InvalidInputError(AgatehoistError):
    """Base of the errors that report positions in a file or document."""
