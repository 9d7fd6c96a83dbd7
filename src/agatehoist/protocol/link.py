"""Client side of a connection: one link carries many attempts."""

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
from agatehoist.protocol.dialing import dial
from agatehoist.protocol.errors import (
    ConnectionLostError,
    NotWrittenError,
    ProtocolError,
    WrongPeerError,
)
from agatehoist.protocol.limit_messages import LeaseReply
from agatehoist.protocol.messages import Probe, ProbeReply, Refused
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
    """Multiplex probes and attempts over one connection to a sidecar."""

    def __init__(self, connection: Connection, peer: Hello) -> None:
        self.peer = peer
        self.closed = False
        self._connection = connection
        self._sinks_by_key: dict[object, MemoryObjectSendStream[Any]] = {}
        self._probe_ids = itertools.count(1)
        self._ping_at = math.inf
        self._silent_at = math.inf
        self._answer_owed = anyio.Event()

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
        """Give the stream of messages for an attempt or a probe.

        An earlier subscriber of the same attempt gets a refusal.
        """
        sink, source = anyio.create_memory_object_stream[Any](math.inf)
        if self.closed:
            sink.close()
        earlier = self._sinks_by_key.get(key)
        if earlier is not None and isinstance(key, AttemptId):
            taken = AnswerTaken.refuse("the answer is read by another request")
            earlier.send_nowait(Refused(key, taken.refusal))
        self._sinks_by_key[key] = sink
        self._answer_owed.set()
        try:
            with source:
                yield source
        finally:
            sink.close()
            if self._sinks_by_key.get(key) is sink:
                del self._sinks_by_key[key]

    async def send(self, message: object) -> None:
        """Send one message.

        Raises NotWrittenError if the link was closed before, ConnectionLostError if
        it broke while the message was on its way.
        """
        if self.closed:
            raise NotWrittenError("link was closed before")
        await self._connection.send(message)

    async def run(self) -> None:
        """Hand received messages to their subscribers until the link ends."""
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._watch_silence)
                await self._receive_all()
                task_group.cancel_scope.cancel()
        finally:
            await self._close()

    async def _receive_all(self) -> None:
        try:
            while True:
                message = await self._connection.receive()
                self._note_heard()
                self._deliver(message)
        except ProtocolError as error:
            logger.info("link closed", peer=self.peer.node, reason=str(error))

    def _note_heard(self) -> None:
        self._ping_at = anyio.current_time() + PING_INTERVAL_S
        self._silent_at = math.inf

    async def _watch_silence(self) -> None:
        """Close the link once a peer that owes answers leaves a ping unanswered."""
        while True:
            if not self._sinks_by_key:
                # Hundreds of links are idle at any time and must not wake.
                self._answer_owed = anyio.Event()
                await self._answer_owed.wait()
                self._note_heard()
            await anyio.sleep(PING_INTERVAL_S)
            now = anyio.current_time()
            if now >= self._silent_at:
                logger.info("link silent", peer=self.peer.node)
                await self._connection.aclose()
                return
            if self._sinks_by_key and now >= self._ping_at:
                await self._ping(now)

    async def _ping(self, now: float) -> None:
        self._silent_at = min(self._silent_at, now + PONG_TIMEOUT_S)
        with anyio.move_on_after(PING_INTERVAL_S):
            try:
                await self._connection.send(Ping())
            except ConnectionLostError:
                logger.debug("ping not sent", peer=self.peer.node)

    def _deliver(self, message: Any) -> None:
        if isinstance(message, Pong):
            return
        sink = self._sinks_by_key.get(_key_of(message))
        if sink is None:
            DROPPED_FRAMES_TOTAL.inc({"fault": "late"})
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


async def open_link(
    host: str,
    port: int,
    hello: Hello,
    task_group: TaskGroup,
    keys: KeyRing = NO_KEYS,
    node: str | None = None,
) -> Link:
    """Connect to a sidecar and start handing out its messages.

    Raises WrongPeerError if another node answers than the one given, and
    ConnectionLostError or another ProtocolError.
    """
    connection = await dial(host, port)
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
    if isinstance(message, LeaseReply):
        return message.request_id
    return getattr(message, "attempt_id", None)
