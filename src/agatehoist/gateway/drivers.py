"""Requests under way in this process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator


class Driver(Protocol):
    """Carry one request to its end."""

    def consider_move(self) -> None:
        """Move the run if its endpoint is about to stop serving it."""


class Drivers:
    """Reach the requests under way when beliefs change."""

    def __init__(self) -> None:
        self._all: set[Driver] = set()

    @contextmanager
    def track(self, driver: Driver) -> Iterator[None]:
        """Reach a request while the context lasts."""
        self._all.add(driver)
        try:
            yield
        finally:
            self._all.discard(driver)

    def consider_moves(self) -> None:
        """Let each request look whether its endpoint still serves it."""
        for driver in tuple(self._all):
            driver.consider_move()
