"""Output of log lines that is bounded and never blocks."""

from __future__ import annotations

import os
import time
from collections import deque

# Lines that wait for a reader who is slow; older ones go first.
MAX_WAITING_LINES = 2_000
MAX_LINES_PER_S = 1_000


class BoundedOutput:
    """Write lines to a descriptor, and count those that find no room."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._second = 0
        self._lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take a piece of output."""
        if text != "\n" and not self._has_room():
            self._dropped += 1
            return
        self._waiting.append(text.encode("utf-8", "replace"))
        if len(self._waiting) > 2 * MAX_WAITING_LINES:
            self._waiting.popleft()
            self._dropped += 1

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if self._dropped and len(self._waiting) < MAX_WAITING_LINES:
            line = f'{{"event": "logs: lines dropped", "count": {self._dropped}}}\n'
            self._waiting.append(line.encode())
            self._dropped = 0
        while self._waiting:
            data = b"".join(self._waiting)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._waiting = deque([data])
                return
            except OSError:
                # Nobody reads any more, so there is nobody to tell either.
                self._waiting.clear()
                return
            self._waiting = deque([data[written:]] if written < len(data) else [])

    def _has_room(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S
