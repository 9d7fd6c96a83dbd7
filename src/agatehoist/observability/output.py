"""Output of log lines that is bounded and never blocks."""

from __future__ import annotations

import os
import time

# What waits for a reader who is slow; some 3,000 lines.
MAX_WAITING_BYTES = 1024 * 1024
MAX_LINES_PER_S = 1_000


class BoundedOutput:
    """Write lines to a descriptor, and count those that find no room."""

    def __init__(self, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0
        self._second = 0
        self._lines = 0
        os.set_blocking(descriptor, False)

    @property
    def waiting_bytes(self) -> int:
        """Return how much waits for the reader."""
        return len(self._waiting)

    def write(self, line: str) -> None:
        """Take a line with its end."""
        if not self._has_room():
            self._dropped += 1
            return
        if self._dropped:
            dropped = f'{{"event": "logs: lines dropped", "count": {self._dropped}}}\n'
            self._waiting += dropped.encode()
            self._dropped = 0
        self._waiting += line.encode("utf-8", "replace")

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, so there is nobody to tell either.
                self._waiting.clear()
                return
            del self._waiting[:written]

    def _has_room(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if len(self._waiting) >= MAX_WAITING_BYTES:
            return False
        return self._lines <= self._max_lines_per_s
