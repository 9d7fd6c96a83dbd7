"""What callers haven't read of their replies yet."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.byte_budget import BufferUsage, ByteBudgetExceededError
from agatehoist.http1.errors import ConnectionFailedError

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel

# Of what is held, passed to the kernel at a time.
SEND_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class BacklogTerms:
    """Hold how a backlog is counted once there is one, and how its task is started."""

    open_usage: Callable[[], BufferUsage]
    start: Callable[[Callable[[], Coroutine[Any, Any, None]]], object]


class ReplyBacklog:
    """Hold what a caller hasn't read of a reply, and send it as the caller reads.

    The endpoint is read meanwhile: one cuts off an answer that stays unread.
    """

    def __init__(self, channel: Channel, usage: BufferUsage) -> None:
        self.usage = usage
        self._channel = channel
        # One buffer: events are small, and an object for each would be larger.
        self._held = bytearray()
        self._error: ConnectionFailedError | None = None
        self._changed = anyio.Event()
        self._sent = anyio.Event()

    def put(self, data: memoryview) -> None:
        """Hold more of the reply.

        Raises ConnectionFailedError if the connection has ended or holds too much; it
        is reset then, so that the reply doesn't look complete.
        """
        if self._error is not None:
            raise self._error
        # Its growth is no progress of the caller.
        read_at = self.usage.progress_at if self._held else 0.0
        try:
            self.usage.add_bytes(len(data))
        except ByteBudgetExceededError as error:
            self.usage.evict()
            raise ConnectionFailedError(f"{self._channel.peer}: {error}") from error
        self.usage.progress_at = read_at or self.usage.progress_at
        if self._sent.is_set():
            self._sent = anyio.Event()
        self._held += data
        self._changed.set()

    async def run(self) -> None:
        """Send what is held, until the connection fails."""
        try:
            while True:
                await self._send_held()
                self._sent.set()
                await self._changed.wait()
        except ConnectionFailedError as error:
            self._error = error
            self._sent.set()
        finally:
            self.usage.close()

    async def wait_sent(self) -> None:
        """Wait until the kernel has taken all that was held.

        Raises ConnectionFailedError.
        """
        if self._held and self._error is None:
            await self._sent.wait()
        if self._error is not None:
            raise self._error

    async def _send_held(self) -> None:
        self._changed = anyio.Event()
        while self._held:
            piece = memoryview(bytes(memoryview(self._held)[:SEND_BYTES]))
            left = self._channel.send_now(piece)
            if len(left) < len(piece):
                del self._held[: len(piece) - len(left)]
                self.usage.set_bytes(len(self._held))
                self.usage.progress_at = self.usage.now()
            if left:
                await self._channel.wait_writable()
