"""Bound on the bytes that a process holds for its callers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.errors import AgatehoistError

if TYPE_CHECKING:
    from collections.abc import Iterator


class ByteBudgetExceededError(AgatehoistError):
    """Report that the budget has no room."""


class ByteBudget:
    """Count bytes that are held at the same time."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @contextmanager
    def hold(self) -> Iterator[Holding]:
        """Give a holding that takes bytes and gives them back at the end."""
        holding = Holding(self)
        try:
            yield holding
        finally:
            self.held_bytes -= holding.held_bytes


class Holding:
    """Take bytes from a budget."""

    def __init__(self, budget: ByteBudget) -> None:
        self.held_bytes = 0
        self._budget = budget

    def take(self, count: int) -> None:
        """Take more bytes.

        Raises ByteBudgetExceededError.
        """
        if self._budget.held_bytes + count > self._budget.limit_bytes:
            raise ByteBudgetExceededError(f"over {self._budget.limit_bytes} bytes held")
        self._budget.held_bytes += count
        self.held_bytes += count
