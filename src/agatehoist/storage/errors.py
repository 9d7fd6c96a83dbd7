"""Errors of the platform client."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class PlatformError(AgatehoistError):
    """Base of the errors of the platform client."""


class PlatformUnavailableError(PlatformError):
    """Report that no valid response arrived; a write may have taken effect."""


class CallTimedOutError(PlatformUnavailableError):
    """Report a call that got no answer in time."""


class CallCutError(PlatformUnavailableError):
    """Report a call whose connection ended while the store kept it waiting."""


class RateLimitedError(PlatformUnavailableError):
    """Report a call that the store rejected as over the rate limit of all processes."""


class BudgetExhaustedError(PlatformUnavailableError):
    """Report a call that was not sent, as this process made too many calls."""


class ConflictError(PlatformError):
    """Report that the object isn't at the expected version."""


class ObjectNotFoundError(PlatformError):
    """Report that the object doesn't exist."""


class UnreadableObjectError(PlatformError):
    """Report an object whose content isn't what its kind has."""


class HistoryLostError(PlatformError):
    """Report that the store can't resume a watch from a revision; list again."""
