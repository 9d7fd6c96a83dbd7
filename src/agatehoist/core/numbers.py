"""Checks of integers that other programs have written."""

from __future__ import annotations

# Messages between processes carry integers of at most 64 bits.
MAX_INTEGER = 2**63 - 1
MAX_DIGITS = len(str(MAX_INTEGER))


def read_integer(text: str | bytes, most: int = MAX_INTEGER) -> int | None:
    """Return an integer from 0 to `most` that is written in ASCII digits, or None."""
    if not 0 < len(text) <= MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    value = int(text)
    return value if value <= most else None


def checked_integer(value: object, most: int = MAX_INTEGER) -> int | None:
    """Return a decoded value if it is an integer from 0 to `most`, or else None."""
    return value if type(value) is int and 0 <= value <= most else None
