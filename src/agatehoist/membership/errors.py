"""Errors of the membership package."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class BadHostListError(AgatehoistError):
    """Report a host list that is malformed or has a version too far in the future."""
