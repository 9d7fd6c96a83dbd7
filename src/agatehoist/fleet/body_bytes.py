"""Bytes of the bodies that a process has at each endpoint."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack

# Two of the largest bodies that callers may send by default. The requests of 25
# gateways at one endpoint then hold at most 200 MB there.
MAX_BODY_BYTES_AT_ENDPOINT = 8 * 1024 * 1024


class BodyBytes:
    """Count the bytes of the bodies that were sent to endpoints and not answered.

    Handles large requests of many callers to one endpoint, which crashes if those that
    it holds exceed its memory.
    """

    def __init__(self, limit_bytes: int = MAX_BODY_BYTES_AT_ENDPOINT) -> None:
        self._limit_bytes = limit_bytes
        self._bytes_by_lifetime: Counter[str] = Counter()

    def has_room(self, lifetime: str, count: int) -> bool:
        """Return whether an endpoint may get a body; one alone is always sent."""
        held = self._bytes_by_lifetime[lifetime] if count else 0
        return not held or held + count <= self._limit_bytes

    def hold(self, lifetime: str, count: int) -> ExitStack:
        """Count a body until the returned context exits."""
        stack = ExitStack()
        if count:
            self._bytes_by_lifetime[lifetime] += count
            stack.callback(self._release, lifetime, count)
        return stack

    def _release(self, lifetime: str, count: int) -> None:
        self._bytes_by_lifetime[lifetime] -= count
        if not self._bytes_by_lifetime[lifetime]:
            del self._bytes_by_lifetime[lifetime]
