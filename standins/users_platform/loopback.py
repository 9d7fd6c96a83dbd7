"""HTTP/1.1 serving and requests on loopback."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.clock import SystemClock
from agatehoist.http1.channel import accept_forever, connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import BadRequestError, ConnectionFailedError
from agatehoist.http1.server import ServerConnection
from agatehoist.http1.types import ConnectionLimits, Reply

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request, RequestHead

    Answer = Callable[[ServerConnection, Request], Awaitable[None]]

HOST = "127.0.0.1"
MAX_BODY_BYTES = 32 << 20


@asynccontextmanager
async def listen_on_loopback(serve: Callable[[Channel], Any]) -> AsyncIterator[int]:
    """Accept connections on a free port while the context is open; yield the port."""
    sock = socket.create_server((HOST, 0))
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(accept_forever, sock, serve, task_group)
        yield sock.getsockname()[1]
        task_group.cancel_scope.cancel()
    sock.close()


async def serve_requests(channel: Channel, answer: Answer) -> None:
    """Read the requests of a connection and answer them until it ends."""
    # Called without arguments, the class returns the default limits.
    connection = ServerConnection(channel, SystemClock(), ConnectionLimits)
    try:
        while request := await connection.next_request(lambda: None):
            await answer(connection, request)
            if not connection.prepare_next_request():
                return
    except (BadRequestError, ConnectionFailedError):
        return
    finally:
        connection.close()


async def send_request(
    port: int, head: RequestHead, body: bytes = b"", pause_s: float = 0.0
) -> Reply:
    """Send a request to a loopback port and return the complete reply.

    It isn't read before the pause has passed.

    Raises ConnectionFailedError and InvalidReplyError.
    """
    connection = ClientConnection(await connect(HOST, port))
    try:
        await connection.send(head, body)
        await anyio.sleep(pause_s)
        reply_head = await connection.read_head()
        return Reply(reply_head, await connection.read_body(MAX_BODY_BYTES))
    finally:
        connection.close()


async def exchange_bytes(port: int, data: bytes) -> bytes:
    """Send bytes to a loopback port and return all that arrive until it closes.

    Raises ConnectionFailedError if the connection is reset.
    """
    channel = await connect(HOST, port)
    received = b""
    try:
        await channel.send(data)
        while piece := await channel.receive():
            received += piece
    finally:
        channel.close()
    return received
