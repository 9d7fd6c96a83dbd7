"""Waking of a task that looks again and again."""

from __future__ import annotations

import anyio


class Wakeup:
    """Let one task wait until there is news, or for a while."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the task, or keep it from waiting the next time."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return once there is news or the time is over."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        self._event = anyio.Event()
