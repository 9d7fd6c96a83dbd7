"""Non-blocking output of log lines with a bounded buffer."""

from __future__ import annotations

import os
import time

# Room for about 3,000 lines of 350 bytes while the reader is slow.
MAX_BUFFERED_BYTES = 1024 * 1024
MAX_LINES_PER_S = 1_000


class BoundedOutput:
    """Write lines to a file descriptor, and drop and count those over the limits."""

    def __init__(self, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped_lines = 0
        self._current_second = 0
        self._lines_this_second = 0
        os.set_blocking(descriptor, False)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the lines that are not yet written."""
        return len(self._buffer)

    def write(self, line: str) -> None:
        """Buffer a line, which includes its line break, or drop it over the limits."""
        if not self._count_and_check_limits():
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            dropped = (
                f'{{"event": "logs: lines dropped", "count": {self._dropped_lines}}}\n'
            )
            self._buffer += dropped.encode()
            self._dropped_lines = 0
        self._buffer += line.encode("utf-8", "replace")

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error can't be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _count_and_check_limits(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        if len(self._buffer) >= MAX_BUFFERED_BYTES:
            return False
        return self._lines_this_second <= self._max_lines_per_s
