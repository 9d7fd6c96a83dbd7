"""Client side of a connection that many attempts share."""

from __future__ import annotations

import itertools
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.identity import AttemptId
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import DROPPED_FRAMES_TOTAL
from agatehoist.protocol.attempt_messages import Ping, Pong
from agatehoist.protocol.authentication import Side
from agatehoist.protocol.connection import NO_KEYS
from agatehoist.protocol.errors import (
    ConnectionLostError,
    NotWrittenError,
    ProtocolError,
    WrongPeerError,
)
from agatehoist.protocol.limit_messages import LeaseReply
from agatehoist.protocol.messages import Probe, ProbeReply, Refused
from agatehoist.protocol.outgoing_connections import open_connection
from agatehoist.refusals.kinds import AnswerTaken

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from agatehoist.protocol.authentication import KeyRing
    from agatehoist.protocol.connection import Connection
    from agatehoist.protocol.messages import Hello

logger = get_logger("protocol")

PING_INTERVAL_S = 1.0
PONG_TIMEOUT_S = 2.0


class Link:
    """Multiplex probes, attempts and lease requests over a connection to a sidecar."""

    def __init__(self, connection: Connection, peer: Hello) -> None:
        self.peer = peer
        self.closed = False
        self._connection = connection
        self._send_streams_by_key: dict[object, MemoryObjectSendStream[Any]] = {}
        self._request_ids = itertools.count(1)
        self._next_ping_at = math.inf
        self._pong_deadline = math.inf
        self._reply_expected = anyio.Event()

    async def probe(self, probe: Probe) -> ProbeReply:
        """Send a probe and return its reply.

        Raises ConnectionLostError if the link ends first.
        """
        with self.subscribe(probe.probe_id) as replies:
            await self._connection.send(probe)
            return await receive_from(replies)

    def next_request_id(self) -> int:
        """Return an id that no other probe or lease request on this link has."""
        return next(self._request_ids)

    @contextmanager
    def subscribe(
        self, key: AttemptId | int
    ) -> Iterator[MemoryObjectReceiveStream[Any]]:
        """Yield the stream of messages for an attempt, a probe or a lease request.

        An earlier subscriber of the same attempt receives a refusal.
        """
        send_stream, receive_stream = anyio.create_memory_object_stream[Any](math.inf)
        if self.closed:
            send_stream.close()
        earlier = self._send_streams_by_key.get(key)
        if earlier is not None and isinstance(key, AttemptId):
            refusal_error = AnswerTaken.refuse(
                "another request has resumed this answer"
            )
            earlier.send_nowait(Refused(key, refusal_error.refusal))
        self._send_streams_by_key[key] = send_stream
        self._reply_expected.set()
        try:
            with receive_stream:
                yield receive_stream
        finally:
            send_stream.close()
            if self._send_streams_by_key.get(key) is send_stream:
                del self._send_streams_by_key[key]

    async def send(self, message: object) -> None:
        """Send one message.

        Raises NotWrittenError if the link is closed already, ConnectionLostError if
        the connection is lost while sending.
        """
        if self.closed:
            raise NotWrittenError("link is closed")
        await self._connection.send(message)

    async def run(self) -> None:
        """Deliver received messages to their subscribers until the link closes."""
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._monitor_peer)
                await self._receive_all()
                task_group.cancel_scope.cancel()
        finally:
            await self._close()

    async def _receive_all(self) -> None:
        try:
            while True:
                message = await self._connection.receive()
                self._restart_ping_timers()
                self._deliver(message)
        except ProtocolError as error:
            logger.info("link closed", peer=self.peer.node, reason=str(error))

    def _restart_ping_timers(self) -> None:
        self._next_ping_at = anyio.current_time() + PING_INTERVAL_S
        self._pong_deadline = math.inf

    async def _monitor_peer(self) -> None:
        """Close the link if a reply is expected and the peer doesn't answer a ping."""
        while True:
            if not self._send_streams_by_key:
                # Hundreds of links are idle at any time and must not wake the process.
                self._reply_expected = anyio.Event()
                await self._reply_expected.wait()
                self._restart_ping_timers()
            await anyio.sleep(PING_INTERVAL_S)
            now = anyio.current_time()
            if now >= self._pong_deadline:
                logger.info(
                    "peer doesn't answer pings, closing link", peer=self.peer.node
                )
                await self._connection.aclose()
                return
            if self._send_streams_by_key and now >= self._next_ping_at:
                await self._ping(now)

    async def _ping(self, now: float) -> None:
        self._pong_deadline = min(self._pong_deadline, now + PONG_TIMEOUT_S)
        with anyio.move_on_after(PING_INTERVAL_S):
            try:
                await self._connection.send(Ping())
            except ConnectionLostError:
                logger.debug("ping not sent", peer=self.peer.node)

    def _deliver(self, message: Any) -> None:
        if isinstance(message, Pong):
            return
        send_stream = self._send_streams_by_key.get(_subscription_key(message))
        if send_stream is None:
            # The subscriber has stopped waiting, for example after a timeout.
            DROPPED_FRAMES_TOTAL.inc({"fault": "late"})
            logger.debug("late message dropped", kind=type(message).__name__)
            return
        send_stream.send_nowait(message)

    async def _close(self) -> None:
        self.closed = True
        for send_stream in self._send_streams_by_key.values():
            send_stream.close()
        self._send_streams_by_key.clear()
        with anyio.CancelScope(shield=True):
            await self._connection.aclose()


async def open_link(
    host: str,
    port: int,
    hello: Hello,
    task_group: TaskGroup,
    keys: KeyRing = NO_KEYS,
    node: str | None = None,
) -> Link:
    """Connect to a sidecar and start delivering its messages.

    Raises WrongPeerError if the peer isn't the given node, and
    ConnectionLostError or another ProtocolError.
    """
    connection = await open_connection(host, port)
    try:
        peer = await connection.handshake(hello, Side.CLIENT, keys)
        if node is not None and peer.node != node:
            raise WrongPeerError(f"{host}:{port} is {peer.node}, not {node}")
    except BaseException:
        await connection.aclose()
        raise
    link = Link(connection, peer)
    task_group.start_soon(link.run)
    return link


async def receive_from(receive_stream: MemoryObjectReceiveStream[Any]) -> Any:
    """Return the next message of a subscription.

    Raises ConnectionLostError if the link closes.
    """
    try:
        return await receive_stream.receive()
    except anyio.EndOfStream:
        raise ConnectionLostError("link closed before the reply arrived") from None


def _subscription_key(message: Any) -> AttemptId | int | None:
    if isinstance(message, ProbeReply):
        return message.probe_id
    if isinstance(message, LeaseReply):
        return message.request_id
    return getattr(message, "attempt_id", None)
