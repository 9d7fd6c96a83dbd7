"""Pool of idle client connections."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.byte_budget import ByteBudget
from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.types import Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.core.address import Address
    from agatehoist.core.clock import Clock
    from agatehoist.http1.types import ReplyHead, RequestHead

MAX_IDLE_PER_PEER = 32
# A round trip takes up to 3 ms and an accept 1 ms; a lost packet is retransmitted only
# after a second, while another peer would have replied much earlier.
CONNECT_TIMEOUT_S = 0.25
# How long a connection is kept if the peer states no keep-alive timeout.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Of the replies that are read at the same time, unless a budget is given.
DEFAULT_BUFFERED_BYTES = 32 * 1024 * 1024
# A peer measures its timeout with its own clock and may close a little earlier.
IDLE_MARGIN_S = 0.5


class ConnectionPool:
    """Keep idle connections by peer key.

    The key of an endpoint contains its start time, so that connections to an endpoint
    aren't used after its restart.
    """

    def __init__(self, clock: Clock, budget: ByteBudget | None = None) -> None:
        self.budget = budget or ByteBudget(DEFAULT_BUFFERED_BYTES)
        self._clock = clock
        self._idle_by_peer: dict[str, deque[ClientConnection]] = {}

    async def acquire(
        self, peer_key: str, host: str, port: int, fresh: bool = False
    ) -> ClientConnection:
        """Return an idle connection or open one; a fresh one proves the peer is alive.

        Raises ConnectionFailedError.
        """
        idle_connection = None if fresh else self._acquire_idle(peer_key)
        if idle_connection is not None:
            return idle_connection
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return ClientConnection(await connect(host, port))
        except TimeoutError as error:
            raise ConnectionFailedError(f"connect {host}:{port}: timed out") from error

    async def exchange(
        self,
        peer_key: str,
        address: Address,
        head: RequestHead,
        body: bytes,
        max_bytes: int,
        idle_limit_s: Callable[[ReplyHead], float | None] = lambda _head: None,
        fresh: bool = False,
    ) -> Reply:
        """Send a request and return the complete reply.

        idle_limit_s returns the keep-alive timeout that a reply states, or None. On a
        fresh connection no second copy of an earlier reply can arrive.

        Raises ConnectionFailedError, InvalidRequestError, InvalidReplyError and
        ReplyEvictedError.
        """
        connection = await self.acquire(peer_key, address.host, address.port, fresh)
        try:
            await connection.send(head, body)
            reply_head = await connection.read_head()
            with self.budget.track_buffer(peer_key, connection.abort) as usage:
                usage.is_bounded = reply_head.has_length
                reply_body = await connection.read_body(max_bytes, usage)
            reply = Reply(reply_head, reply_body)
        except BaseException:
            connection.close()
            raise
        self.return_connection(peer_key, connection, idle_limit_s(reply_head))
        return reply

    def return_connection(
        self,
        peer_key: str,
        connection: ClientConnection,
        keepalive_timeout_s: float | None,
    ) -> None:
        """Keep a connection whose reply was read completely, if it can be reused."""
        if not connection.prepare_next_request():
            return
        idle_timeout_s = (
            DEFAULT_IDLE_TIMEOUT_S
            if keepalive_timeout_s is None
            else keepalive_timeout_s - IDLE_MARGIN_S
        )
        idle = self._idle_by_peer.setdefault(peer_key, deque())
        if idle_timeout_s <= 0 or len(idle) >= MAX_IDLE_PER_PEER:
            connection.close()
            return
        connection.usable_until = self._clock.now() + idle_timeout_s
        idle.append(connection)

    def forget(self, peer_key: str) -> None:
        """Close the idle connections to a peer that has gone."""
        for connection in self._idle_by_peer.pop(peer_key, ()):
            connection.close()

    def _acquire_idle(self, peer_key: str) -> ClientConnection | None:
        idle = self._idle_by_peer.get(peer_key)
        while idle:
            connection = idle.pop()
            if connection.usable_until > self._clock.now() and connection.is_idle():
                return connection
            connection.close()
        return None
