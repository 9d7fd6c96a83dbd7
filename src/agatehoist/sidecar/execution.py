"""Answer of one attempt, kept so that a router can read it again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from agatehoist.protocol.messages import CallReply, CompletionEnd, Refused

    Ending = CompletionEnd | CallReply | Refused


class Execution:
    """Collect the answer of an attempt and wake those who read it."""

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.texts: list[str] = []
        self.ending: Ending | None = None
        self.scope = anyio.CancelScope()
        self._changed = anyio.Event()

    def append(self, texts: tuple[str, ...]) -> None:
        """Add tokens to the answer."""
        self.texts.extend(texts)
        self._notify()

    def finish(self, ending: Ending) -> None:
        """Set the last message of the answer."""
        if self.ending is None:
            self.ending = ending
            self._notify()

    async def wait_past(self, first: int) -> None:
        """Wait until there are tokens from first on, or the ending."""
        while len(self.texts) <= first and self.ending is None:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
