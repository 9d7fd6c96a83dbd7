"""Reduction of exception groups to the error that the operator sees."""

from __future__ import annotations


def first_error(error: BaseException) -> BaseException:
    """Return the first leaf exception of a group, or the exception itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
