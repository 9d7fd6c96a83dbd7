"""Answer of one attempt, kept so that a router can read it again."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from agatehoist.attempts.cancelling import Prefill
from agatehoist.protocol.windows import WINDOW_TOKENS

if TYPE_CHECKING:
    from agatehoist.protocol.messages import CallReply, CompletionEnd, Refused

    Ending = CompletionEnd | CallReply | Refused

EXECUTION_RETENTION_S = 30.0
MAX_AHEAD_TOKENS = 2 * WINDOW_TOKENS


class Execution:
    """Collect the answer of an attempt and wake those who read it.

    The texts begin with a blank for each token that another attempt delivered.
    """

    def __init__(self, deadline: float, first: int = 0) -> None:
        self.deadline = deadline
        self.texts: list[str] = [""] * first
        self.ending: Ending | None = None
        self.scope = anyio.CancelScope()
        self.started = False
        self.prefill: Prefill | None = None
        self.acknowledged = False
        self.orphaned_until = deadline
        self.kept_until = math.inf
        self._first = first
        self._reader = 0
        self._sent = first
        self._window_until = first
        self._changed = anyio.Event()

    @property
    def answer_tokens(self) -> int:
        """Return the number of tokens that this attempt has given."""
        return len(self.texts) - self._first

    @property
    def has_tokens(self) -> bool:
        """Say whether the endpoint has given a token."""
        return len(self.texts) > self._first

    def begin(self, now: float, prefill_s: float) -> None:
        """Note that the endpoint is about to be called, at an epoch time."""
        self.started = True
        self.prefill = Prefill(now, now + prefill_s)

    def append(self, texts: tuple[str, ...]) -> None:
        """Add tokens to the answer."""
        self.texts.extend(texts)
        self._notify()

    def finish(self, ending: Ending) -> None:
        """Set the last message of the answer."""
        if self.ending is None:
            self.ending = ending
            self._notify()

    def attach(self, first: int) -> int:
        """Take a reader from a token on, which ends any earlier one."""
        self._reader += 1
        self._sent = first
        self._window_until = first + WINDOW_TOKENS
        self.orphaned_until = math.inf
        self._notify()
        return self._reader

    def detach(self, reader: int, orphaned_until: float) -> None:
        """Note that a reader has gone; work that nobody reads has a time limit."""
        if reader == self._reader:
            self._reader += 1
            self.orphaned_until = orphaned_until
            self._notify()

    def is_attached(self, reader: int) -> bool:
        """Say whether a reader is still the latest one."""
        return reader == self._reader

    def is_abandoned(self, now: float) -> bool:
        """Say whether nobody has read the answer for too long."""
        return self.ending is None and self.orphaned_until < now

    def is_forgotten(self, now: float) -> bool:
        """Say whether an ended answer is no longer kept."""
        latest = min(self.kept_until, self.deadline + EXECUTION_RETENTION_S)
        return self.ending is not None and latest < now

    def open_window(self, until: int) -> None:
        """Allow the reader tokens up to an index."""
        self._window_until = max(self._window_until, until)
        self._notify()

    def acknowledge(self) -> None:
        """Note that the ending has arrived."""
        self.acknowledged = True
        self._notify()

    async def wait_sendable(self, reader: int, first: int) -> int:
        """Return the index up to which tokens from first on may be sent.

        Return first itself once the reader may have the ending or is detached.
        """
        self._sent = max(self._sent, first)
        self._notify()
        while self.is_attached(reader):
            until = min(len(self.texts), self._window_until)
            if until > first or self._ended_at(first):
                return until
            await self._changed.wait()
        return first

    async def wait_acknowledged(self, reader: int) -> None:
        """Wait until the ending has arrived or the reader is detached."""
        while not self.acknowledged and self.is_attached(reader):
            await self._changed.wait()

    async def wait_room(self) -> None:
        """Wait until an attached reader is near enough for more tokens."""
        while self._is_read() and len(self.texts) - self._sent >= MAX_AHEAD_TOKENS:
            await self._changed.wait()

    async def wait_first_token(self) -> None:
        """Wait until the endpoint has given a token or ended."""
        while not self.has_tokens and self.ending is None:
            await self._changed.wait()

    def _is_read(self) -> bool:
        return self.orphaned_until == math.inf

    def _ended_at(self, first: int) -> bool:
        return self.ending is not None and first >= len(self.texts)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
