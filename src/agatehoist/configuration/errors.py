"""Errors in reading and changing the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.errors import AgatehoistError

if TYPE_CHECKING:
    from agatehoist.configuration.document import Record


class ConfigurationError(AgatehoistError):
    """Base of the errors in reading and changing the configuration."""


class BadRecordError(ConfigurationError):
    """Report a stored or received record that isn't valid."""


class ChangeConflictError(ConfigurationError):
    """Report that another change was accepted since the revision a file is based on.

    ``winner`` is the record in force, or None if there is none or it can't be read.
    """

    def __init__(
        self, base: Record | None, winner: Record | None, changes: tuple[Record, ...]
    ) -> None:
        revision = winner.revision if winner is not None else 0
        super().__init__(f"conflict with revision {revision}, which is in force")
        self.base = base
        self.winner = winner
        self.changes = changes


class OutcomeUnknownError(ConfigurationError):
    """Report that it isn't known yet whether a change was accepted."""

    def __init__(self, change_id: str, reason: str) -> None:
        super().__init__(f"the outcome of change {change_id} is unknown: {reason}")
        self.change_id = change_id
