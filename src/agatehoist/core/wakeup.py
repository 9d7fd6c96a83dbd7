"""Event that wakes a periodic task early."""

from __future__ import annotations

import anyio


class Wakeup:
    """Let one task wait for a notification or a timeout."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the task, or make its next wait return at once."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a notification, at most for the timeout in seconds."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        self._event = anyio.Event()
