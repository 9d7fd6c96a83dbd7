"""TCP connections on non-blocking sockets."""

from __future__ import annotations

import errno
import fcntl
import os
import select
import socket
import struct
import termios
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel

from agatehoist.core.units import MS_PER_S
from agatehoist.http1.errors import ConnectionFailedError, NotListeningError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from anyio.abc import TaskGroup

RECEIVE_BYTES = 32 * 1024
MAX_HOST_SHOWN_CHARACTERS = 80
# A peer that sends faster than its bytes are read must not keep out other tasks.
MAX_RECEIVES_IN_A_ROW = 2
# A peer that lost power or connectivity must be detected within about two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
# The kernel counts a full receive window like a peer that has vanished, also after this
# process has ended. A caller may read nothing for longer than the time above.
UNREAD_TIMEOUT_MS = 30_000
# A peer that has got the last reply closes the connection within this time.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 8 * 1024 * 1024
# More than the largest reply; the kernel may allow less.
LAST_SEND_BUFFER_BYTES = 8 * 1024 * 1024
# The tasks of accepted connections begin, and close others for them, before more are
# accepted.
MAX_ACCEPTS_IN_A_ROW = 16
# File descriptors run out under a flood of connections; accepting is retried until
# some have been closed.
ACCEPT_RETRY_DELAY_S = 0.05
# SO_LINGER on, with a linger time of 0 s: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Channel:
    """Send and receive bytes on a connection, with no buffers but the kernel's."""

    def __init__(self, sock: socket.socket, peer: str) -> None:
        self._sock = sock
        self.peer = peer
        self.closed = False
        # Bytes that were sent but not acknowledged when the connection was aborted.
        self.discarded_bytes = 0
        self._receives_in_a_row = 0
        # The kernel reports a reset to one call only. To later ones the connection
        # looks as if the peer had ended the stream.
        self._failure: str | None = None

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes, or none at the end of the stream.

        Raises ConnectionFailedError.
        """
        if self._receives_in_a_row >= MAX_RECEIVES_IN_A_ROW:
            self._receives_in_a_row = 0
            await anyio.lowlevel.checkpoint()
        self._receives_in_a_row += 1
        while True:
            try:
                data = self._sock.recv(max_bytes)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
                self._receives_in_a_row = 1
            except OSError as error:
                raise self._connection_error("receive", error) from error
            else:
                if not data and self._failure is not None:
                    raise ConnectionFailedError(f"receive {self.peer}: {self._failure}")
                return data

    async def wait_for_input(self) -> None:
        """Wait until bytes or the end of the stream have arrived.

        Raises ConnectionFailedError.
        """
        if self.is_idle():
            await self._wait(anyio.wait_readable)

    async def send(self, data: bytes) -> None:
        """Send all bytes.

        Raises ConnectionFailedError.
        """
        remainder = memoryview(data)
        while remainder := self.send_now(remainder):
            await self.wait_writable()

    def send_now(self, data: memoryview) -> memoryview:
        """Send what the kernel takes at once, and return the rest.

        Raises ConnectionFailedError.
        """
        while data:
            try:
                data = data[self._sock.send(data) :]
            except BlockingIOError:
                break
            except OSError as error:
                raise self._connection_error("send", error) from error
        return data

    async def wait_writable(self) -> None:
        """Wait until the kernel takes more, for a bounded time.

        Raises ConnectionFailedError.
        """
        try:
            with anyio.fail_after(UNREAD_TIMEOUT_MS / MS_PER_S):
                await self._wait(anyio.wait_writable)
        except TimeoutError as error:
            raise ConnectionFailedError(
                f"send {self.peer}: not read in time"
            ) from error

    def is_idle(self) -> bool:
        """Return whether the peer has neither sent data nor closed the connection."""
        if self.closed:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as error:
            # The connection was reset and can't be used again, whatever the reason.
            self._failure = error.strerror
            return False
        return False

    def has_peer_ended(self) -> bool:
        """Return whether the peer has closed the connection, even with bytes unread."""
        if self.closed:
            return True
        poller = select.poll()
        # Resets and other errors are always reported too.
        poller.register(self._sock, select.POLLRDHUP)
        return bool(poller.poll(0))

    def has_undelivered(self) -> bool:
        """Return whether the peer has reset the connection or not received all."""
        is_failed = self.closed or self._failure is not None
        return is_failed or has_undelivered(self._sock)

    def close(self) -> None:
        """Close the connection; data that was sent is still delivered."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self._sock)
        self._sock.close()

    async def linger(self) -> None:
        """End sending, discard what the peer still sends until it closes, and close.

        Closing a socket with unread bytes resets the connection, and the peer may then
        lose what was sent to it last.
        """
        discarded = 0
        with suppress(OSError, ConnectionFailedError), anyio.move_on_after(LINGER_S):
            self._sock.shutdown(socket.SHUT_WR)
            while discarded < MAX_DISCARDED_BYTES and (data := await self.receive()):
                discarded += len(data)
        self.close()

    def enlarge_send_buffer(self) -> None:
        """Let the kernel take all that is sent, so that it outlives this process."""
        if self.closed:
            return
        with suppress(OSError):
            enlarged = _largest_send_buffer_bytes()
            # Setting it ends the kernel's own enlarging, which may have got further.
            option = (socket.SOL_SOCKET, socket.SO_SNDBUF)
            if self._sock.getsockopt(*option) < enlarged:
                self._sock.setsockopt(*option, LAST_SEND_BUFFER_BYTES)

    def abort(self) -> None:
        """Reset the connection; undelivered data is discarded."""
        if self.closed:
            return
        self.discarded_bytes = _unacknowledged_bytes(self._sock)
        # If the peer has closed the connection already, closing it here is enough.
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    async def _wait(
        self, wait_ready: Callable[[socket.socket], Awaitable[None]]
    ) -> None:
        if self.closed:
            raise ConnectionFailedError(f"{self.peer}: closed by this process")
        try:
            await wait_ready(self._sock)
        except anyio.ClosedResourceError as error:
            raise ConnectionFailedError(
                f"{self.peer}: closed by this process"
            ) from error

    def _connection_error(self, action: str, error: OSError) -> ConnectionFailedError:
        self._failure = error.strerror
        return ConnectionFailedError(f"{action} {self.peer}: {error.strerror}")


def has_undelivered(sock: socket.socket) -> bool:
    """Return whether the peer has reset the connection or not received all.

    Once the peer has ended its stream, only this shows a reset. It shows it once.
    """
    is_reset = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    return is_reset or _unacknowledged_bytes(sock) > 0


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many sent bytes the peer hasn't acknowledged, 0 if unknown."""
    try:
        counted = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", counted)[0])


def _largest_send_buffer_bytes() -> int:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LAST_SEND_BUFFER_BYTES)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


async def connect(host: str, port: int) -> Channel:
    """Open a connection.

    Raises ConnectionFailedError, which is a NotListeningError if the peer refuses it.
    """
    peer = f"{host[:MAX_HOST_SHOWN_CHARACTERS]}:{port}"
    try:
        return Channel(await _open_socket(host, port, peer), peer)
    except OSError as error:
        # File descriptors may have run out, or the name can't be resolved.
        raise ConnectionFailedError(f"connect {peer}: {error.strerror}") from error
    except (OverflowError, TypeError, ValueError) as error:
        raise ConnectionFailedError(f"connect {peer!r}: {error}") from error


async def _open_socket(host: str, port: int, peer: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            is_refused = code == errno.ECONNREFUSED
            kind = NotListeningError if is_refused else ConnectionFailedError
            raise kind(f"connect {peer}: {os.strerror(code)}")
        configure_socket(sock)
    except BaseException:
        sock.close()
        raise
    return sock


def configure_socket(
    sock: socket.socket, unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Make the kernel send data at once and end the connection if the peer vanishes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)


async def accept_forever(
    listening: socket.socket,
    serve: Callable[[Channel], Coroutine[Any, Any, None]],
    task_group: TaskGroup,
) -> None:
    """Serve each connection in a task of the group until cancelled."""
    listening.setblocking(False)
    accepted = 0
    while True:
        if accepted >= MAX_ACCEPTS_IN_A_ROW:
            accepted = 0
            await anyio.lowlevel.checkpoint()
        accepted += 1
        try:
            sock, address = listening.accept()
        except BlockingIOError:
            await anyio.wait_readable(listening)
            continue
        except OSError:
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            continue
        sock.setblocking(False)
        configure_socket(sock, UNREAD_TIMEOUT_MS)
        peer = f"{address[0]}:{address[1]}"
        task_group.start_soon(serve, Channel(sock, peer))
