"""Errors of the platform client."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class PlatformError(AgatehoistError):
    """Base of the errors of the platform client."""


class PlatformUnavailableError(PlatformError):
    """Report that no answer came; a write may have taken effect."""


class StoreBusyError(PlatformUnavailableError):
    """Report that the call was refused, since all processes made too many."""


class BudgetExhaustedError(PlatformUnavailableError):
    """Report that the call was not sent, since too many were."""


class ConflictError(PlatformError):
    """Report that the object isn't at the expected version."""


class ObjectNotFoundError(PlatformError):
    """Report that the object doesn't exist."""


class HistoryLostError(PlatformError):
    """Report that a watch can't go on from its revision; a list is needed."""
