"""Replies of faulty HTTP servers, byte by byte."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from agatehoist.core.registry import Registry
from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.loopback import HOST, listen_on_loopback

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from agatehoist.http1.channel import Channel

# Time in which the client has read what was sent before a reset.
READ_S = 0.02
PAUSE_S = 0.02
# Time in which the client has found the end of the stream.
OPEN_S = 0.3
# Statuses that HTTP doesn't define, with which a reply may be sound otherwise.
INVALID_STATUSES = ("000", "099", "20", "600", "999", "2000")

ENDINGS: Registry[Callable[..., Awaitable[None]]] = Registry("ending of a raw reply")


@dataclass(frozen=True, slots=True)
class RawReply:
    """Hold the bytes of a reply, its ending, and bytes to repeat without end."""

    data: bytes
    ending: str = "close"
    repeated: bytes = b""


@asynccontextmanager
async def serve_raw(reply: RawReply) -> AsyncIterator[str]:
    """Send one reply to each request while the context is open; yield the URL."""

    async def serve(channel: Channel) -> None:
        try:
            await channel.receive()
            await channel.send(reply.data)
            await ENDINGS[reply.ending](channel, reply)
        except ConnectionFailedError:
            channel.abort()
        finally:
            channel.close()

    async with listen_on_loopback(serve) as port:
        yield f"http://{HOST}:{port}"


@ENDINGS.register("close")
async def _close(channel: Channel, _reply: RawReply) -> None:
    channel.close()


@ENDINGS.register("reset")
async def _reset(channel: Channel, _reply: RawReply) -> None:
    await anyio.sleep(READ_S)
    channel.abort()


@ENDINGS.register("half_close")
async def _half_close(channel: Channel, _reply: RawReply) -> None:
    channel._sock.shutdown(socket.SHUT_WR)
    await anyio.sleep(OPEN_S)
    channel.abort()


@ENDINGS.register("half_close_reset")
async def _half_close_and_reset(channel: Channel, _reply: RawReply) -> None:
    channel._sock.shutdown(socket.SHUT_WR)
    channel.abort()


@ENDINGS.register("flood")
async def _flood(channel: Channel, reply: RawReply) -> None:
    while True:
        await channel.send(reply.repeated)
        await anyio.lowlevel.checkpoint()


@ENDINGS.register("drip")
async def _drip(channel: Channel, reply: RawReply) -> None:
    while True:
        await channel.send(reply.repeated)
        await anyio.sleep(PAUSE_S)
