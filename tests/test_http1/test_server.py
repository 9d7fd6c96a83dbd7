"""Tests of parsing requests from the bytes on a connection."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

import anyio
import anyio.lowlevel
from parameterized import parameterized

from agatehoist.core.clock import SystemClock
from agatehoist.http1.channel import RECEIVE_BYTES, Channel
from agatehoist.http1.errors import BadRequestError
from agatehoist.http1.server import ServerConnection
from agatehoist.http1.types import ConnectionLimits, Request

LIMITS = ConnectionLimits(1024, 4096, 0.2, 0.2)
PIPELINED_REQUESTS = 100
HEAD = b"POST /a/ HTTP/1.1\r\nHost: a.example\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
LONG_CHUNK = b"1400\r\n" + b"a" * 0x1400 + b"\r\n0\r\n\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"


class LateInputChannel(Channel):
    """Receive a request as the first wait for input is cancelled."""

    def __init__(self, sock: socket.socket, peer_sock: socket.socket) -> None:
        super().__init__(sock, "caller")
        self._peer_sock = peer_sock

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes."""
        try:
            return await super().receive(max_bytes)
        except anyio.get_cancelled_exc_class():
            self._peer_sock.send(WITH_LENGTH)
            raise


def read_requests(
    data: bytes,
    piece_bytes: int = 0,
    shut_down: bool = True,
    later_limits: ConnectionLimits = LIMITS,
) -> list[Request | BadRequestError | None]:
    """Return the requests that a connection reads, up to the first error or the end.

    The later limits hold once the first request has been read.
    """

    async def read_from_socket() -> list[Request | BadRequestError | None]:
        server_end, client_end = socket.socketpair()
        server_end.setblocking(False)
        found: list[Request | BadRequestError | None] = []
        connection = ServerConnection(
            Channel(server_end, "caller"),
            SystemClock(),
            lambda: later_limits if found else LIMITS,
        )
        with client_end:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_send, client_end, data, piece_bytes, shut_down)
                await _read_all(connection, found)
                task_group.cancel_scope.cancel()
        connection.close()
        return found

    return anyio.run(read_from_socket)


async def _send(
    client_end: socket.socket, data: bytes, piece_bytes: int, shut_down: bool
) -> None:
    size = piece_bytes or max(1, len(data))
    for start in range(0, len(data), size):
        await anyio.wait_writable(client_end)
        client_end.send(data[start : start + size])
        await anyio.lowlevel.checkpoint()
    if shut_down:
        client_end.shutdown(socket.SHUT_WR)


async def _read_all(
    connection: ServerConnection, found: list[Request | BadRequestError | None]
) -> None:
    while True:
        try:
            request = await connection.next_request(lambda: None)
        except BadRequestError as error:
            found.append(error)
            return
        found.append(request)
        if request is None:
            return
        await connection.send_reply(200, (), b"")
        if not connection.prepare_next_request():
            return


class RequestTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{name}_{size}", data, size)
            for name, data in (("whole", WITH_LENGTH), ("chunked", CHUNKED))
            for size in (0, 1, 2, 7, 40)
        ]
    )
    def test_a_request_is_the_same_however_it_arrives(
        self, _name: str, data: bytes, piece_bytes: int
    ) -> None:
        found = read_requests(data * 2, piece_bytes)
        bodies = [each.body for each in found if isinstance(each, Request)]
        self.assertEqual(bodies, [b"hello", b"hello"])

    def test_offered_upgrade_is_ignored(self) -> None:
        offer = b"Connection: upgrade\r\nUpgrade: websocket\r\n"
        found = read_requests((HEAD + offer + LENGTH + b"\r\nhello") * 2)
        bodies = [each.body for each in found if isinstance(each, Request)]
        self.assertEqual(bodies, [b"hello", b"hello"])

    @parameterized.expand(
        [
            ("two_framings", HEAD + LENGTH + CHUNKS + b"0\r\n\r\n", 400),
            ("two_lengths", HEAD + LENGTH + b"Content-Length: 6\r\n\r\nhello", 400),
            ("length_of_words", HEAD + b"Content-Length: five\r\n\r\nhello", 400),
            ("negative_length", HEAD + b"Content-Length: -5\r\n\r\nhello", 400),
            (
                "endless_length",
                HEAD + b"Content-Length: " + b"1" * 900 + b"\r\n\r\n",
                400,
            ),
            ("unknown_encoding", HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
            ("bad_chunk", HEAD + CHUNKS + b"xx\r\nhello", 400),
            ("blank_before_colon", HEAD + b"X-A : 1\r\n\r\n", 400),
            ("folded_name", HEAD + b"X\x00A: 1\r\n\r\n", 400),
            ("no_host", b"GET /a/ HTTP/1.1\r\n\r\n", 400),
            ("two_hosts", HEAD + b"Host: b.example\r\n\r\n", 400),
            ("old_version", b"GET /a/ HTTP/1.0\r\nHost: a\r\n\r\n", 505),
            ("tunnel", b"CONNECT /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 501),
            ("no_request", b"\x16\x03\x01 hello\r\n\r\n", 400),
            ("long_headers", HEAD + b"X-A: " + b"a" * 2000 + b"\r\n\r\n", 431),
            ("long_body", HEAD + b"Content-Length: 5000\r\n\r\n", 413),
            ("long_chunks", HEAD + CHUNKS + LONG_CHUNK, 413),
        ]
    )
    def test_invalid_requests_have_a_status(
        self, _name: str, data: bytes, status: int
    ) -> None:
        (error,) = read_requests(data)
        assert isinstance(error, BadRequestError)
        self.assertEqual(error.status, status)

    # In chunks of one byte; LIMITS allow bodies of 4096 bytes.
    @parameterized.expand(
        [
            ("within_the_limit", b"1\r\ny\r\n" * 4096, 0),
            ("over_the_limit", b"1\r\ny\r\n" * 4097, 413),
            ("long_extensions", (b"1;" + b"e" * 60 + b"\r\ny\r\n") * 1500, 413),
            ("long_size_line", b"1;" + b"e" * 2000, 431),
            ("long_trailers", b"0\r\n" + b"X-A: b\r\n" * 200, 431),
            ("stopped", b"1\r\ny\r\n" * 5, 408),
            ("ended", b"1\r\ny\r\n" * 5 + b"1\r\n", 400),
        ]
    )
    def test_work_for_a_chunked_body_is_bounded(
        self, name: str, chunks: bytes, status: int
    ) -> None:
        """A body of many chunks must not cost far more than its bytes."""
        data = HEAD + CHUNKS + chunks + (b"" if status else b"0\r\n\r\n")
        found, *_ = read_requests(data, 4000, shut_down=name != "stopped")
        self.assertEqual(getattr(found, "status", 0), status, found)

    def test_largest_body_in_chunks_of_one_byte_is_read(self) -> None:
        size = 4 * 1024 * 1024
        limits = replace(LIMITS, max_body_bytes=size, idle_timeout_s=60.0)
        data = WITH_LENGTH + HEAD + CHUNKS + b"1\r\ny\r\n" * size + b"0\r\n\r\n"
        _, found, *_ = read_requests(data, 60_000, later_limits=limits)
        assert isinstance(found, Request)
        self.assertEqual(len(found.body), size)

    # LIMITS allow headers of 1024 bytes.
    @parameterized.expand(
        [
            ("raised", 4000, 2000, 0),
            ("lowered", 200, 500, 431),
            ("same", 1024, 2000, 431),
        ]
    )
    def test_changed_limit_on_headers_holds_on_open_connections(
        self, _name: str, max_bytes: int, length: int, status: int
    ) -> None:
        long_request = HEAD + b"X-A: " + b"a" * length + b"\r\n\r\n"
        limits = replace(LIMITS, max_header_bytes=max_bytes)
        _, second, *_ = read_requests(WITH_LENGTH + long_request, 100, True, limits)
        found = second.status if isinstance(second, BadRequestError) else 0
        self.assertEqual(found, status, second)

    # What the caller sends before the head, and how many bytes at a time.
    @parameterized.expand(
        [("first", b"", 0), ("pipelined", WITH_LENGTH, 0), ("trickled", WITH_LENGTH, 1)]
    )
    def test_slow_headers_time_out(
        self, _name: str, before: bytes, piece_bytes: int
    ) -> None:
        *_, error = read_requests(before + HEAD, piece_bytes, shut_down=False)
        assert isinstance(error, BadRequestError)
        self.assertEqual(error.status, 408)

    def test_a_request_that_arrives_as_the_idle_timeout_passes_is_read(self) -> None:
        async def run() -> Request | None:
            server_end, client_end = socket.socketpair()
            server_end.setblocking(False)
            with client_end:
                channel = LateInputChannel(server_end, client_end)
                connection = ServerConnection(channel, SystemClock(), lambda: LIMITS)
                request = await connection.next_request(lambda: None)
                connection.close()
            return request

        request = anyio.run(run)
        self.assertEqual(request.body if request else None, b"hello")

    # In seconds: when the idle timeout changes, the timeouts before and after that, and
    # when the next request arrives, all since the last reply.
    @parameterized.expand(
        [
            ("unchanged", 0.0, 0.3, 0.3, 0.2, True),
            ("lowered_at_once", 0.0, 0.3, 0.05, 0.2, True),
            ("lowered_while_idle", 0.1, 0.3, 0.05, 0.2, True),
            ("raised_at_once", 0.0, 0.1, 0.4, 0.2, True),
            ("raised_while_idle", 0.05, 0.1, 0.4, 0.2, True),
            ("longer_one_before_passed", 0.05, 0.2, 0.1, 0.4, False),
            ("longer_one_after_passed", 0.05, 0.1, 0.2, 0.4, False),
        ]
    )
    def test_caller_that_knows_the_longer_idle_timeout_is_not_cut(
        self,
        _name: str,
        changes_at_s: float,
        before_s: float,
        after_s: float,
        sent_at_s: float,
        is_read: bool,
    ) -> None:
        idle_timeouts_s = [before_s]

        async def run() -> Request | None:
            server_end, client_end = socket.socketpair()
            server_end.setblocking(False)
            connection = ServerConnection(
                Channel(server_end, "caller"),
                SystemClock(),
                lambda: replace(LIMITS, idle_timeout_s=idle_timeouts_s[-1]),
            )

            async def change_and_send() -> None:
                if changes_at_s:
                    await anyio.sleep(changes_at_s)
                idle_timeouts_s.append(after_s)
                await anyio.sleep(sent_at_s - changes_at_s)
                client_end.send(WITH_LENGTH)

            with client_end:
                client_end.send(WITH_LENGTH)
                await connection.next_request(lambda: None)
                await connection.send_reply(200, (), b"")
                connection.prepare_next_request()
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(change_and_send)
                    await anyio.lowlevel.checkpoint()
                    request = await connection.next_request(lambda: None)
                    task_group.cancel_scope.cancel()
                connection.close()
            return request

        self.assertEqual(anyio.run(run) is not None, is_read)

    # Case, and what follows a HEAD request on its connection.
    @parameterized.expand(
        [
            ("bad_line", b"GET\r\n\r\n", 400),
            ("bad_header", HEAD + b"X-A : 1\r\n\r\n", 400),
            ("headers_too_long", HEAD + b"X-A: " + b"a" * 5000, 431),
            ("headers_too_late", HEAD, 408),
        ]
    )
    def test_refusal_of_a_bad_request_after_a_head_request_is_whole(
        self, _name: str, data: bytes, status: int
    ) -> None:
        async def run() -> bytes:
            server_end, client_end = socket.socketpair()
            server_end.setblocking(False)
            connection = ServerConnection(
                Channel(server_end, "caller"), SystemClock(), lambda: LIMITS
            )
            with client_end:
                client_end.send(b"HEAD /a/ HTTP/1.1\r\nHost: a.example\r\n\r\n" + data)
                await connection.next_request(lambda: None)
                await connection.send_reply(200, (), b"")
                connection.prepare_next_request()
                client_end.recv(4096)
                try:
                    await connection.next_request(lambda: None)
                except BadRequestError as error:
                    await connection.send_reply(error.status, (), b"why")
                connection.close()
                return client_end.recv(4096)

        reply = anyio.run(run)
        self.assertIn(b" %d " % status, reply)
        self.assertTrue(reply.endswith(b"\r\n\r\nwhy"), reply)

    def test_pipelined_requests_leave_the_event_loop_to_others(self) -> None:
        """Refusing 2,000 requests that came together takes half a second."""

        async def run() -> tuple[int, int]:
            server_end, client_end = socket.socketpair()
            server_end.setblocking(False)
            connection = ServerConnection(
                Channel(server_end, "caller"), SystemClock(), lambda: LIMITS
            )
            found: list[Request | BadRequestError | None] = []
            passes = 0

            async def count_passes() -> None:
                nonlocal passes
                while True:
                    await anyio.lowlevel.checkpoint()
                    passes += 1

            with client_end:
                client_end.send(WITH_LENGTH * PIPELINED_REQUESTS)
                client_end.shutdown(socket.SHUT_WR)
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(count_passes)
                    await _read_all(connection, found)
                    task_group.cancel_scope.cancel()
            connection.close()
            return len(found), passes

        read, passes = anyio.run(run)
        self.assertEqual(read, PIPELINED_REQUESTS + 1)
        self.assertGreater(passes, PIPELINED_REQUESTS // 2)

    def test_an_idle_connection_times_out(self) -> None:
        self.assertEqual(read_requests(b"", shut_down=False), [None])

    def test_a_truncated_body_is_rejected(self) -> None:
        (error,) = read_requests(HEAD + b"Content-Length: 9\r\n\r\nhello")
        self.assertIsInstance(error, BadRequestError)
