"""Answer of one attempt, kept so that a router can read it again."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from agatehoist.attempts.cancellation import Prefill
from agatehoist.protocol.flow_control import WINDOW_TOKENS

if TYPE_CHECKING:
    from agatehoist.protocol.messages import CallReply, CompletionEnd, Refused

    Ending = CompletionEnd | CallReply | Refused

EXECUTION_RETENTION_S = 30.0
MAX_AHEAD_TOKENS = 2 * WINDOW_TOKENS


class Reader:
    """Track how far one session has sent an answer and how far it may."""

    def __init__(self, first: int) -> None:
        self.sent = first
        self.window_until = first + WINDOW_TOKENS
        self.attached = True
        self.acknowledged = False


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
        self.orphaned_until = deadline
        self.kept_until = math.inf
        self._first = first
        self._readers_by_session: dict[object, Reader] = {}
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

    def attach(self, session: object, first: int) -> Reader:
        """Take a reader from a token on, which ends the session's earlier one."""
        earlier = self._readers_by_session.get(session)
        if earlier is not None:
            earlier.attached = False
        reader = Reader(first)
        self._readers_by_session[session] = reader
        self.orphaned_until = math.inf
        self._notify()
        return reader

    def detach(self, session: object, reader: Reader, orphaned_until: float) -> None:
        """Note that a reader has gone; work that nobody reads has a time limit."""
        reader.attached = False
        if self._readers_by_session.get(session) is reader:
            del self._readers_by_session[session]
        if not self._readers_by_session:
            self.orphaned_until = orphaned_until
        self._notify()

    def is_abandoned(self, now: float) -> bool:
        """Say whether nobody has read the answer for too long."""
        return self.ending is None and self.orphaned_until < now

    def is_forgotten(self, now: float) -> bool:
        """Say whether an ended answer is no longer kept."""
        latest = min(self.kept_until, self.deadline + EXECUTION_RETENTION_S)
        return self.ending is not None and latest < now

    def open_window(self, session: object, until: int) -> None:
        """Allow the reader of a session tokens up to an index."""
        reader = self._readers_by_session.get(session)
        if reader is not None:
            reader.window_until = max(reader.window_until, until)
            self._notify()

    def acknowledge(self, session: object) -> None:
        """Note that the ending has arrived at the reader of a session."""
        reader = self._readers_by_session.get(session)
        if reader is not None:
            reader.acknowledged = True
            self._notify()

    async def wait_sendable(self, reader: Reader, first: int) -> int:
        """Return the index up to which tokens from first on may be sent.

        Return first itself once the reader may have the ending or is detached.
        """
        reader.sent = max(reader.sent, first)
        self._notify()
        while reader.attached:
            until = min(len(self.texts), reader.window_until)
            if until > first or self._ended_at(first):
                return until
            await self._changed.wait()
        return first

    async def wait_acknowledged(self, reader: Reader) -> None:
        """Wait until the ending has arrived or the reader is detached."""
        while reader.attached and not reader.acknowledged:
            await self._changed.wait()

    async def wait_room(self) -> None:
        """Wait until the furthest reader, if any, is near enough for more tokens."""
        while self._unread_tokens() >= MAX_AHEAD_TOKENS:
            await self._changed.wait()

    async def wait_first_token(self) -> None:
        """Wait until the endpoint has given a token or ended."""
        while not self.has_tokens and self.ending is None:
            await self._changed.wait()

    def _unread_tokens(self) -> int:
        sent = [each.sent for each in self._readers_by_session.values()]
        return len(self.texts) - max(sent) if sent else 0

    def _ended_at(self, first: int) -> bool:
        return self.ending is not None and first >= len(self.texts)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
