"""Errors of the configuration."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class ConfigurationError(AgatehoistError):
    """Base of the errors of the configuration."""


class BadRecordError(ConfigurationError):
    """Report an accepted document that can't be read."""
