"""TCP connections on non-blocking sockets."""

from __future__ import annotations

import errno
import os
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.http1.errors import ConnectionFailedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from anyio.abc import TaskGroup

RECEIVE_BYTES = 32 * 1024
# A peer that lost power or its path must show within about two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
# Descriptors run out under a flood of connections; accepting waits for some to close.
ACCEPT_PAUSE_S = 0.05
LINGER_NONE = struct.pack("ii", 1, 0)


class Channel:
    """Send and receive bytes; kernel buffers are the only buffers."""

    def __init__(self, sock: socket.socket, peer: str) -> None:
        self._sock = sock
        self.peer = peer
        self.closed = False

    async def receive(self) -> bytes:
        """Return the next bytes, or none at the end of the stream.

        Raises ConnectionFailedError.
        """
        while True:
            try:
                return self._sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
            except OSError as error:
                raise self._failed("receive", error) from error

    async def send(self, data: bytes) -> None:
        """Send all bytes.

        Raises ConnectionFailedError.
        """
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self._sock.send(rest) :]
            except BlockingIOError:
                await self._wait(anyio.wait_writable)
            except OSError as error:
                raise self._failed("send", error) from error

    def is_quiet(self) -> bool:
        """Say whether the peer has neither sent bytes nor closed."""
        if self.closed:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            # A reset connection can't be used again, whatever the reason.
            return False
        return False

    def close(self) -> None:
        """Close the connection after what was sent."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self._sock)
        self._sock.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.closed:
            return
        # If the peer has gone already, a plain close ends it as well.
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.close()

    async def _wait(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        if self.closed:
            raise ConnectionFailedError(f"{self.peer}: closed here")
        try:
            await wait(self._sock)
        except anyio.ClosedResourceError as error:
            raise ConnectionFailedError(f"{self.peer}: closed here") from error

    def _failed(self, action: str, error: OSError) -> ConnectionFailedError:
        return ConnectionFailedError(f"{action} {self.peer}: {error.strerror}")


async def connect(host: str, port: int) -> Channel:
    """Open a connection.

    Raises ConnectionFailedError.
    """
    peer = f"{host}:{port}"
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise ConnectionFailedError(f"connect {peer}: {os.strerror(code)}")
        watch_peer(sock)
    except BaseException:
        sock.close()
        raise
    return Channel(sock, peer)


def watch_peer(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer has vanished."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


async def accept_forever(
    listening: socket.socket,
    serve: Callable[[Channel], Coroutine[Any, Any, None]],
    task_group: TaskGroup,
) -> None:
    """Serve each connection in a task of the group until cancelled."""
    listening.setblocking(False)
    while True:
        try:
            sock, address = listening.accept()
        except BlockingIOError:
            await anyio.wait_readable(listening)
            continue
        except OSError:
            await anyio.sleep(ACCEPT_PAUSE_S)
            continue
        sock.setblocking(False)
        watch_peer(sock)
        peer = f"{address[0]}:{address[1]}"
        task_group.start_soon(serve, Channel(sock, peer))
