"""Tests of the client side of a connection."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.errors import AgatehoistError
from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import (
    ConnectionFailedError,
    InvalidReplyError,
    InvalidRequestError,
)
from agatehoist.http1.types import RequestHead
from standins.raw_replies import INVALID_STATUSES
from standins.users_platform.loopback import HOST, listen_on_loopback

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel

HEAD = RequestHead(b"GET", b"/", ((b"host", b"a.example"),))
MAX_BODY_BYTES = 1000
SETTLE_S = 0.05
# The socket of the client takes it, but not that of a peer which reads nothing.
UPLOAD = b"x" * 600_000


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"


async def read_reply(reply: bytes) -> bytes | AgatehoistError:
    """Return the body that the client reads from a reply, or the error it raises."""

    async def serve(channel: Channel) -> None:
        await channel.receive()
        await channel.send(reply)
        channel.close()

    async with listen_on_loopback(serve) as port:
        connection = ClientConnection(await connect(HOST, port))
        try:
            await connection.send(HEAD, b"")
            await connection.read_head()
            return await connection.read_body(MAX_BODY_BYTES)
        except AgatehoistError as error:
            # If it were raised here, the server's task group would wrap it.
            return error
        finally:
            connection.close()


class ReplyTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("length", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab"),
            ("chunks", CHUNKED + b"0\r\n\r\n"),
            ("until_closed", b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nab"),
        ]
    )
    def test_complete_reply(self, _name: str, reply: bytes) -> None:
        self.assertEqual(anyio.run(read_reply, reply), b"ab")

    @parameterized.expand(
        [
            ("nothing", b""),
            ("part_of_a_head", b"HTTP/1.1 200 OK\r\ncontent-le"),
            ("short_body", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"),
            ("chunks_without_end", CHUNKED),
        ]
    )
    def test_connection_closed_too_early(self, _name: str, reply: bytes) -> None:
        error = anyio.run(read_reply, reply)
        self.assertIsInstance(error, ConnectionFailedError)
        self.assertRegex(
            str(error), r"^127.0.0.1:\d+: closed before the end of the reply$"
        )

    @parameterized.expand(
        [
            ("no_http", b"\x00\x01 no answer\r\n\r\n"),
            ("bad_length", b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nab"),
            ("too_long", b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + b"x" * 2000),
            *(
                (f"status_{each}", f"HTTP/1.1 {each} Odd\r\n\r\nab".encode())
                for each in (*INVALID_STATUSES, "101")
            ),
        ]
    )
    def test_invalid_reply(self, _name: str, reply: bytes) -> None:
        self.assertIsInstance(anyio.run(read_reply, reply), InvalidReplyError)


async def read_parts(reply: bytes) -> list[bytes | type[AgatehoistError] | None]:
    """Return what the client reads of a body that has arrived, part by part."""

    async def serve(channel: Channel) -> None:
        await channel.receive()
        await channel.send(reply)
        channel.close()

    async with listen_on_loopback(serve) as port:
        connection = ClientConnection(await connect(HOST, port))
        await connection.send(HEAD, b"")
        await connection.read_head()
        parts: list[bytes | type[AgatehoistError] | None] = []
        try:
            while not parts or parts[-1] is not None:
                parts.append(await connection.read_data())
        except AgatehoistError as error:
            parts.append(type(error))
        finally:
            connection.close()
        return parts


class PartTests(unittest.TestCase):
    # What follows the chunks that have arrived, and how the body ends.
    @parameterized.expand(
        [
            ("end", b"0\r\n\r\n", None),
            ("part_of_an_end", b"0\r\n", ConnectionFailedError),
            ("no_chunk", b"?\r\n\r\n", InvalidReplyError),
        ]
    )
    def test_chunks_that_have_arrived_are_read_at_once(
        self, _name: str, rest: bytes, end: type[AgatehoistError] | None
    ) -> None:
        reply = CHUNKED + b"1\r\nc\r\n" * 100 + rest
        self.assertEqual(anyio.run(read_parts, reply), [b"ab" + b"c" * 100, end])


class ResetTests(unittest.TestCase):
    # Whether the connection is looked at after its reset, which the kernel reports only
    # once, and what of the body has been read before.
    @parameterized.expand(
        [
            ("not_looked_at", False, False),
            ("looked_at", True, False),
            ("looked_at_within_body", True, True),
        ]
    )
    def test_reset_is_not_taken_for_the_end_of_a_reply_without_length(
        self, _name: str, looked_at: bool, has_begun: bool
    ) -> None:
        async def serve(channel: Channel) -> None:
            await channel.receive()
            await channel.send(b"HTTP/1.1 200 OK\r\n\r\nab")
            await anyio.sleep(SETTLE_S)
            channel.abort()

        async def run() -> bytes | AgatehoistError:
            async with listen_on_loopback(serve) as port:
                connection = ClientConnection(await connect(HOST, port))
                try:
                    await connection.send(HEAD, b"")
                    await connection.read_head()
                    if has_begun:
                        await connection.read_data()
                    await anyio.sleep(2 * SETTLE_S)
                    if looked_at:
                        self.assertFalse(connection.is_idle())
                    return await connection.read_body(MAX_BODY_BYTES)
                except AgatehoistError as error:
                    return error
                finally:
                    connection.close()

        self.assertIsInstance(anyio.run(run), ConnectionFailedError)


class UnreadRequestTests(unittest.TestCase):
    # Whether the peer resets the connection behind the end of its stream, and whether
    # the reply is read after that.
    @parameterized.expand(
        [("left_open", False), ("reset_then", True)],
    )
    def test_success_without_length_is_not_whole_before_the_request_has_arrived(
        self, _name: str, is_reset: bool
    ) -> None:
        result = anyio.run(self._ask, b"200", UPLOAD, is_reset)
        self.assertIsInstance(result, ConnectionFailedError)

    # A refusal may come before the whole request has; a small one arrives at once.
    @parameterized.expand(
        [
            ("refusal", b"413", UPLOAD, False),
            ("refusal_with_reset", b"413", UPLOAD, True),
            ("small_request", b"200", b"x", False),
        ]
    )
    def test_other_reply_is_read_to_its_end(
        self, _name: str, status: bytes, body: bytes, is_reset: bool
    ) -> None:
        self.assertEqual(anyio.run(self._ask, status, body, is_reset), b"ab")

    async def _ask(
        self, status: bytes, body: bytes, is_reset: bool
    ) -> bytes | AgatehoistError:
        """Return the body of the reply of a peer that doesn't read the request."""
        head = RequestHead(
            b"POST",
            b"/",
            ((b"host", b"a"), (b"content-length", str(len(body)).encode())),
        )

        async def serve(channel: Channel) -> None:
            await channel.receive()
            await channel.send(b"HTTP/1.1 " + status + b" Odd\r\n\r\nab")
            channel._sock.shutdown(socket.SHUT_WR)
            await anyio.sleep(SETTLE_S)
            if is_reset:
                channel.abort()
            await anyio.sleep(4 * SETTLE_S)
            channel.close()

        async with listen_on_loopback(serve) as port:
            connection = ClientConnection(await connect(HOST, port))
            try:
                await connection.send(head, body)
                await anyio.sleep(2 * SETTLE_S)
                await connection.read_head()
                return await connection.read_body(MAX_BODY_BYTES)
            except AgatehoistError as error:
                return error
            finally:
                connection.close()


class InvalidRequestTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("space_in_target", b"/a b", b"x"),
            ("target_not_ascii", "/\xe9".encode(), b"x"),
            ("line_break", b"/", b"x\r\na: b"),
            ("nul", b"/", b"x\0"),
            ("space_at_end", b"/", b"x "),
        ]
    )
    def test_request_that_cannot_be_sent_is_no_fault_of_the_peer(
        self, _name: str, target: bytes, value: bytes
    ) -> None:
        received: list[bytes] = []
        head = RequestHead(b"GET", target, ((b"host", b"a"), (b"x-odd", value)))

        async def serve(channel: Channel) -> None:
            received.append(await channel.receive())
            channel.close()

        async def run() -> AgatehoistError | None:
            async with listen_on_loopback(serve) as port:
                connection = ClientConnection(await connect(HOST, port))
                try:
                    await connection.send(head, b"")
                except AgatehoistError as error:
                    return error
                finally:
                    connection.close()
            return None

        self.assertIsInstance(anyio.run(run), InvalidRequestError)
        self.assertNotIn(True, [bool(each) for each in received])
