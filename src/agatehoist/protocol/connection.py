"""Connections that transport messages over a byte stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.protocol.authentication import (
    Challenge,
    Greeting,
    KeyRing,
    Proof,
    Side,
    check_challenges,
)
from agatehoist.protocol.codec import MAX_FRAME_BYTES, Decoder, encode
from agatehoist.protocol.errors import (
    AuthenticationError,
    BadFrameError,
    ConnectionLostError,
    VersionMismatchError,
)
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

logger = get_logger("protocol")

HANDSHAKE_TIMEOUT_S = 1.0
MAX_HANDSHAKE_FRAME_BYTES = 4096
RECEIVE_BYTES = 65536
NO_KEYS = KeyRing()

Expected = TypeVar("Expected")


class Connection:
    """Send and receive messages on one byte stream."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._decoder = Decoder(MAX_HANDSHAKE_FRAME_BYTES)
        self._send_lock = anyio.Lock()
        self._messages = self._receive_messages()

    async def handshake(
        self, hello: Hello, side: Side = Side.CLIENT, keys: KeyRing = NO_KEYS
    ) -> Hello:
        """Exchange hellos, prove the keys and return the hello of the peer.

        Raises VersionMismatchError, BadFrameError, AuthenticationError or
        ConnectionLostError.
        """
        try:
            with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer_hello = await self._exchange_hellos(hello)
                await self._authenticate(hello, peer_hello, side, keys)
        except TimeoutError as error:
            raise ConnectionLostError("handshake timed out") from error
        self._decoder.max_frame_bytes = MAX_FRAME_BYTES
        return peer_hello

    async def _exchange_hellos(self, hello: Hello) -> Hello:
        await self.send(hello)
        peer_hello = await self.receive()
        if not isinstance(peer_hello, Hello):
            raise BadFrameError("first message is not a hello")
        if peer_hello.version != PROTOCOL_VERSION:
            raise VersionMismatchError(
                f"peer uses protocol version {peer_hello.version}"
            )
        return peer_hello

    async def _authenticate(
        self, hello: Hello, peer_hello: Hello, side: Side, keys: KeyRing
    ) -> None:
        own = Greeting(hello, keys.challenge())
        await self.send(own.challenge)
        peer = Greeting(peer_hello, await self._receive_type(Challenge))
        client, server = (own, peer) if side is Side.CLIENT else (peer, own)
        try:
            check_challenges(own.challenge, peer.challenge)
            if not keys:
                return
            # The client proves its key first, so that a server sends no proof to a peer
            # that has none.
            if side is Side.CLIENT:
                await self.send(keys.prove(side, client, server))
            proof = await self._receive_type(Proof)
            keys.verify(proof, side.other, client, server)
            if side is Side.SERVER:
                await self.send(keys.prove(side, client, server))
        except AuthenticationError as error:
            logger.warning("peer refused", peer=peer_hello.node, reason=str(error))
            raise

    async def _receive_type(self, expected: type[Expected]) -> Expected:
        message = await self.receive()
        if not isinstance(message, expected):
            raise BadFrameError(f"message is not a {expected.__name__.lower()}")
        return message

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

        Raises ConnectionLostError at the end of the stream, BadFrameError on invalid
        bytes.
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


def warn_without_keys(keys: KeyRing) -> None:
    """Log a warning if no key is set, since any process can connect then."""
    if not keys:
        logger.warning("inner connections are open to anyone")
