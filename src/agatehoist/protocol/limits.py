"""Limits on the sessions of a process and the streams of a session.

A session is a connection that the process has accepted; a stream is a task that
serves one request on it.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.protocol.errors import LimitExceededError

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_SESSIONS = 2048
MAX_STREAMS = 1024
# How long a session without streams may receive nothing before it is closed.
IDLE_TIMEOUT_S = 900.0


class Slots:
    """Limit how many sessions or streams exist at once."""

    def __init__(self, kind: str, limit: int) -> None:
        self.count = 0
        self._kind = kind
        self._limit = limit

    @contextmanager
    def take(self) -> Iterator[None]:
        """Occupy one slot while the context lasts.

        Raises LimitExceededError.
        """
        if self.count >= self._limit:
            raise LimitExceededError(f"more than {self._limit} {self._kind}")
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1
