"""Base classes of the errors that agatehoist raises."""

from __future__ import annotations


class AgatehoistError(Exception):
    """Base of every error raised by agatehoist."""


class UnknownNameError(AgatehoistError):
    """Report a name that no registry entry carries."""

    def __init__(self, registry: str, name: object, known: tuple[object, ...]) -> None:
        listed = ", ".join(sorted(str(each) for each in known))
        super().__init__(f"unknown {registry} {name!r}; known: {listed}")
        self.registry = registry
        self.name = name
        self.known = known


class InvalidInputError(AgatehoistError):
    """Base of the errors that name places in a file or document."""
