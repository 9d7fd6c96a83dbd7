"""Errors of membership."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class BadHostListError(AgatehoistError):
    """Report a host list that can't be read."""
