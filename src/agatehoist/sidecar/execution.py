"""Buffered answer of one attempt, which a router can read again from any token."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from agatehoist.attempts.cancellation import Prefill
from agatehoist.protocol.flow_control import WINDOW_TOKENS

if TYPE_CHECKING:
    from agatehoist.protocol.messages import CallReply, CompletionEnd, Refused

    FinalMessage = CompletionEnd | CallReply | Refused

EXECUTION_RETENTION_S = 30.0
MAX_UNSENT_TOKENS = 2 * WINDOW_TOKENS


class Reader:
    """Track how far an answer is sent, and may be sent, on one session."""

    def __init__(self, first: int) -> None:
        # Index up to which tokens have been sent, and up to which the window allows it.
        self.sent = first
        self.window_until = first + WINDOW_TOKENS
        self.attached = True
        self.acknowledged = False


class Execution:
    """Buffer the answer of an attempt and wake the tasks that wait for it.

    The buffer starts with an empty text for each token that an earlier attempt
    delivered, so that token indexes count from the start of the whole answer. Times
    are in epoch seconds.
    """

    def __init__(self, deadline: float, delivered_tokens: int = 0) -> None:
        self.deadline = deadline
        self.texts: list[str] = [""] * delivered_tokens
        self.final_message: FinalMessage | None = None
        self.scope = anyio.CancelScope()
        self.started = False
        self.prefill: Prefill | None = None
        # Whether its router has the whole answer, or wants no more of it.
        self.is_settled = False
        # If no reader ever attaches, the attempt is abandoned at its deadline.
        self.abandon_at = deadline
        self.retained_until = math.inf
        self._delivered_tokens = delivered_tokens
        self._readers_by_session: dict[object, Reader] = {}
        self._changed = anyio.Event()

    @property
    def answer_tokens(self) -> int:
        """Return the number of tokens that this attempt has generated."""
        return len(self.texts) - self._delivered_tokens

    @property
    def has_tokens(self) -> bool:
        """Return whether this attempt has generated a token."""
        return len(self.texts) > self._delivered_tokens

    def mark_started(self, now: float, prefill_s: float) -> None:
        """Record that the endpoint is about to be called; `now` is in epoch seconds."""
        self.started = True
        self.prefill = Prefill(now, now + prefill_s)

    def append(self, texts: tuple[str, ...]) -> None:
        """Append the texts of generated tokens."""
        self.texts.extend(texts)
        self._notify()

    def finish(self, final_message: FinalMessage) -> None:
        """Set the final message, unless the attempt has one already."""
        if self.final_message is None:
            self.final_message = final_message
            self._notify()

    def attach(self, session: object, first: int) -> Reader:
        """Add a reader from a token index on; it replaces the session's earlier one."""
        earlier = self._readers_by_session.get(session)
        if earlier is not None:
            earlier.attached = False
        reader = Reader(first)
        self._readers_by_session[session] = reader
        self.abandon_at = math.inf
        self._notify()
        return reader

    def detach(self, session: object, reader: Reader, abandon_at: float) -> None:
        """Remove a reader; the attempt is abandoned at a set time if none is left."""
        reader.attached = False
        if self._readers_by_session.get(session) is reader:
            del self._readers_by_session[session]
        if not self._readers_by_session:
            self.abandon_at = abandon_at
        self._notify()

    def is_abandoned(self, now: float) -> bool:
        """Return whether the running attempt has had no reader for too long."""
        return self.final_message is None and self.abandon_at < now

    def is_awaited(self, now: float) -> bool:
        """Return whether a router may still come back for the answer."""
        return not self.is_settled and now < self.abandon_at

    def is_expired(self, now: float) -> bool:
        """Return whether the retention time of an ended answer has passed."""
        expires_at = min(self.retained_until, self.deadline + EXECUTION_RETENTION_S)
        return self.final_message is not None and expires_at < now

    def extend_window(self, session: object, until: int) -> None:
        """Extend the window of a session's reader to an index, which is excluded."""
        reader = self._readers_by_session.get(session)
        if reader is not None:
            reader.window_until = max(reader.window_until, until)
            self._notify()

    def acknowledge(self, session: object) -> None:
        """Record that the router of a session has received the final message."""
        reader = self._readers_by_session.get(session)
        if reader is not None:
            reader.acknowledged = True
            self._notify()

    async def wait_sendable(self, reader: Reader, first: int) -> int:
        """Wait for tokens from `first` on and return the index to send them up to.

        Return `first` itself when the final message is due or the reader is detached.
        """
        reader.sent = max(reader.sent, first)
        self._notify()
        while reader.attached:
            until = min(len(self.texts), reader.window_until)
            if until > first or self._is_final_message_due(first):
                return until
            await self._changed.wait()
        return first

    async def wait_acknowledged(self, reader: Reader) -> None:
        """Wait until the final message is acknowledged or the reader is detached."""
        while reader.attached and not reader.acknowledged:
            await self._changed.wait()

    async def wait_for_buffer_space(self) -> None:
        """Wait while MAX_UNSENT_TOKENS or more are unsent to the furthest reader.

        Without a reader, return at once.
        """
        while self._unsent_tokens() >= MAX_UNSENT_TOKENS:
            await self._changed.wait()

    async def wait_first_token(self) -> None:
        """Wait until this attempt has generated a token or has ended."""
        while not self.has_tokens and self.final_message is None:
            await self._changed.wait()

    def _unsent_tokens(self) -> int:
        sent = [each.sent for each in self._readers_by_session.values()]
        return len(self.texts) - max(sent) if sent else 0

    def _is_final_message_due(self, first: int) -> bool:
        return self.final_message is not None and first >= len(self.texts)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
