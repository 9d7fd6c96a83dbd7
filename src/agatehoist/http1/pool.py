"""Kept connections to a few peers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.types import Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.core.address import Address
    from agatehoist.core.clock import Clock
    from agatehoist.http1.types import ReplyHead, RequestHead

MAX_IDLE_BY_PEER = 32
# A round trip takes up to 3 ms and an accept 1 ms; a lost packet is sent again only
# after a second, when another peer has long answered.
CONNECT_TIMEOUT_S = 0.25
# How long a connection is kept if the peer doesn't name its own limit.
DEFAULT_IDLE_S = 2.0
# A peer closes idle connections by its own clock, which may run a little earlier.
IDLE_MARGIN_S = 0.5


class Pool:
    """Keep idle connections by peer; a peer's name changes with its lifetime."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle_by_peer: dict[str, deque[ClientConnection]] = {}

    async def take(
        self, peer: str, host: str, port: int, fresh: bool = False
    ) -> ClientConnection:
        """Return a kept connection or a new one; a fresh one proves the peer alive.

        Raises ConnectionFailedError.
        """
        kept = None if fresh else self._take_kept(peer)
        if kept is not None:
            return kept
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return ClientConnection(await connect(host, port))
        except TimeoutError as error:
            raise ConnectionFailedError(f"connect {host}:{port}: timed out") from error

    async def exchange(
        self,
        peer: str,
        address: Address,
        head: RequestHead,
        body: bytes,
        max_bytes: int,
        idle_limit_s: Callable[[ReplyHead], float | None] = lambda _head: None,
    ) -> Reply:
        """Send a request and return its whole answer.

        Raises ConnectionFailedError and AnswerGarbledError.
        """
        connection = await self.take(peer, address.host, address.port)
        try:
            await connection.send(head, body)
            reply_head = await connection.read_head()
            reply = Reply(reply_head, await connection.read_body(max_bytes))
        except BaseException:
            connection.close()
            raise
        self.give_back(peer, connection, idle_limit_s(reply_head))
        return reply

    def give_back(
        self, peer: str, connection: ClientConnection, idle_s: float | None
    ) -> None:
        """Keep a connection whose answer was read whole, if it can be used again."""
        if not connection.release():
            return
        allowed_s = DEFAULT_IDLE_S if idle_s is None else idle_s - IDLE_MARGIN_S
        idle = self._idle_by_peer.setdefault(peer, deque())
        if allowed_s <= 0 or len(idle) >= MAX_IDLE_BY_PEER:
            connection.close()
            return
        connection.usable_until = self._clock.now() + allowed_s
        idle.append(connection)

    def forget(self, peer: str) -> None:
        """Close the kept connections of a peer that has gone."""
        for connection in self._idle_by_peer.pop(peer, ()):
            connection.close()

    def _take_kept(self, peer: str) -> ClientConnection | None:
        idle = self._idle_by_peer.get(peer)
        while idle:
            connection = idle.pop()
            if connection.usable_until > self._clock.now() and connection.is_quiet():
                return connection
            connection.close()
        return None
