"""Client side of a connection: one link carries many attempts."""

from __future__ import annotations

import itertools
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import ConnectionLostError, ProtocolError
from agatehoist.protocol.messages import Probe, ProbeReply

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from agatehoist.core.identity import AttemptId
    from agatehoist.protocol.messages import Hello

logger = get_logger("protocol")

CONNECT_TIMEOUT_S = 1.0


class Link:
    """Multiplex probes and attempts over one connection to a sidecar."""

    def __init__(self, connection: Connection, peer: Hello) -> None:
        self.peer = peer
        self.closed = False
        self._connection = connection
        self._sinks_by_key: dict[object, MemoryObjectSendStream[Any]] = {}
        self._probe_ids = itertools.count(1)

    async def probe(self, probe: Probe) -> ProbeReply:
        """Send a probe and return its reply.

        Raises ConnectionLostError if the link ends first.
        """
        with self.subscribe(probe.probe_id) as replies:
            await self._connection.send(probe)
            return await receive_from(replies)

    def next_probe_id(self) -> int:
        """Return an id that no other probe on this link carries."""
        return next(self._probe_ids)

    @contextmanager
    def subscribe(
        self, key: AttemptId | int
    ) -> Iterator[MemoryObjectReceiveStream[Any]]:
        """Give the stream of messages for an attempt or a probe."""
        sink, source = anyio.create_memory_object_stream[Any](math.inf)
        if self.closed:
            sink.close()
        self._sinks_by_key[key] = sink
        try:
            with source:
                yield source
        finally:
            sink.close()
            self._sinks_by_key.pop(key, None)

    async def send(self, message: object) -> None:
        """Send one message.

        Raises ConnectionLostError if the link is closed.
        """
        await self._connection.send(message)

    async def run(self) -> None:
        """Hand received messages to their subscribers until the link ends."""
        try:
            while True:
                self._deliver(await self._connection.receive())
        except ProtocolError as error:
            logger.info("link closed", peer=self.peer.node, reason=str(error))
        finally:
            await self._close()

    def _deliver(self, message: Any) -> None:
        sink = self._sinks_by_key.get(_key_of(message))
        if sink is None:
            logger.debug("late message dropped", kind=type(message).__name__)
            return
        sink.send_nowait(message)

    async def _close(self) -> None:
        self.closed = True
        for sink in self._sinks_by_key.values():
            sink.close()
        self._sinks_by_key.clear()
        with anyio.CancelScope(shield=True):
            await self._connection.aclose()


async def open_link(host: str, port: int, hello: Hello, task_group: TaskGroup) -> Link:
    """Connect to a sidecar and start handing out its messages.

    Raises ConnectionLostError or another ProtocolError.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectionLostError(f"can't connect to {host}:{port}") from error
    connection = Connection(stream)
    try:
        peer = await connection.handshake(hello)
    except BaseException:
        await connection.aclose()
        raise
    link = Link(connection, peer)
    task_group.start_soon(link.run)
    return link


async def receive_from(source: MemoryObjectReceiveStream[Any]) -> Any:
    """Return the next message of a subscription.

    Raises ConnectionLostError if the link ended.
    """
    try:
        return await source.receive()
    except anyio.EndOfStream:
        raise ConnectionLostError("link ended before the answer") from None


def _key_of(message: Any) -> AttemptId | int | None:
    if isinstance(message, ProbeReply):
        return message.probe_id
    return getattr(message, "attempt_id", None)
