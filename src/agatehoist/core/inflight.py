"""Counter of the operations in flight."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator


class InFlightCounter:
    """Count operations in flight and let tasks wait until there are none."""

    def __init__(self) -> None:
        self.count = 0
        self._idle = anyio.Event()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one operation until the context exits."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._idle.set()
                self._idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Wait until no operation is in flight."""
        while self.count:
            await self._idle.wait()
