"""Connections that carry messages over a byte stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.protocol.codec import Decoder, encode
from agatehoist.protocol.errors import (
    BadFrameError,
    ConnectionLostError,
    VersionMismatchError,
)
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

HANDSHAKE_TIMEOUT_S = 1.0
RECEIVE_BYTES = 65536


class Connection:
    """Send and receive messages on one byte stream."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._decoder = Decoder()
        self._send_lock = anyio.Lock()
        self._messages = self._receive_messages()

    async def handshake(self, hello: Hello) -> Hello:
        """Exchange hellos and return that of the peer.

        Raises VersionMismatchError, BadFrameError or ConnectionLostError.
        """
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                await self.send(hello)
                theirs = await self.receive()
        except TimeoutError as error:
            raise ConnectionLostError("no hello in time") from error
        if not isinstance(theirs, Hello):
            raise BadFrameError("first message is no hello")
        if theirs.version != PROTOCOL_VERSION:
            raise VersionMismatchError(f"peer speaks version {theirs.version}")
        return theirs

    async def send(self, message: object) -> None:
        """Send one message.

        Raises ConnectionLostError if the stream is closed.
        """
        data = encode(message)
        try:
            async with self._send_lock:
                await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise ConnectionLostError("connection closed while sending") from error

    async def receive(self) -> Any:
        """Return the next message.

        Raises ConnectionLostError at the end, BadFrameError on bad bytes.
        """
        try:
            return await anext(self._messages)
        except StopAsyncIteration:
            raise ConnectionLostError("connection closed by the peer") from None

    async def aclose(self) -> None:
        """Close the stream."""
        await anyio.aclose_forcefully(self._stream)

    async def _receive_messages(self) -> AsyncIterator[Any]:
        while True:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            for each in self._decoder.feed(data):
                yield each
