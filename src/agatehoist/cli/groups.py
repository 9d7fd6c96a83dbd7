"""Exception groups on their way to the operator."""

from __future__ import annotations


def first_error(error: BaseException) -> BaseException:
    """Return the first error inside a group, or the error itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
