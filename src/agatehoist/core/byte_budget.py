"""Limit on the bytes that a process buffers for its callers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.errors import AgatehoistError

if TYPE_CHECKING:
    from collections.abc import Iterator


class ByteBudgetExceededError(AgatehoistError):
    """Report that a buffer would exceed the budget."""


class ByteBudget:
    """Limit the total size of the buffers that are counted against the budget."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @contextmanager
    def track_buffer(self) -> Iterator[BufferUsage]:
        """Yield the usage of a new buffer; its bytes return to the budget on exit."""
        buffer_usage = BufferUsage(self)
        try:
            yield buffer_usage
        finally:
            self.held_bytes -= buffer_usage.held_bytes


class BufferUsage:
    """Count the bytes of one buffer against a budget."""

    def __init__(self, budget: ByteBudget) -> None:
        self.held_bytes = 0
        self._budget = budget

    def add_bytes(self, count: int) -> None:
        """Count bytes that are added to the buffer.

        Raises ByteBudgetExceededError.
        """
        if self._budget.held_bytes + count > self._budget.limit_bytes:
            raise ByteBudgetExceededError(
                f"buffered data would exceed {self._budget.limit_bytes} bytes"
            )
        self._budget.held_bytes += count
        self.held_bytes += count
