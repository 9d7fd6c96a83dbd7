"""Tests that broken or endless replies of a service are not taken for complete ones."""

from __future__ import annotations

import gzip
import time
import unittest
from functools import partial
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio
from parameterized import parameterized

from agatehoist.core.work import CallWork
from agatehoist.endpoints import ServiceClient
from agatehoist.endpoints.errors import EndpointError, EndpointFailedError
from agatehoist.endpoints.service import MAX_REPLY_BYTES
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.types import Reply
from agatehoist.protocol.codec import MAX_FRAME_BYTES
from standins.raw_replies import INVALID_STATUSES, RawReply, serve_raw
from standins.users_platform.loopback import HOST, listen_on_loopback

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel

MAX_HEAD_BYTES = 128 * 1024
# Longer than the bounds on loopback, and shorter than CALL_TIMEOUT_S.
LIMIT_S = 5.0
# The socket of the client takes it, but not that of a server which reads nothing.
UPLOAD = b"x" * 600_000
HEAD = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = HEAD + b"\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n"
GZIPPED = gzip.compress(b"ab" * 100)
ENCODED = HEAD + b"content-encoding: gzip\r\n\r\n"


async def call(reply: RawReply, body: bytes = b"") -> Reply | type[EndpointError]:
    """Return the reply to a call, or the class of the error."""
    async with serve_raw(reply) as url:
        client = ServiceClient(url)
        try:
            with anyio.fail_after(2 * LIMIT_S):
                return await client.call(CallWork("GET", "/", body=body))
        except EndpointError as error:
            return type(error)
        finally:
            await client.aclose()


class CallTests(unittest.TestCase):
    # Encoded bodies reach the caller as they are, so that it can tell a cut one.
    @parameterized.expand(
        [
            ("unframed", UNFRAMED + b"ab", b"ab"),
            ("unframed_kept", HEAD + b"connection: keep-alive\r\n\r\nab", b"ab"),
            ("empty", UNFRAMED, b""),
            ("chunks", CHUNKED + b"0\r\n\r\n", b"ab"),
            ("length", HEAD + b"content-length: 2\r\n\r\nab", b"ab"),
            ("encoded", ENCODED + GZIPPED, GZIPPED),
            ("encoded_and_cut", ENCODED + GZIPPED[:-9], GZIPPED[:-9]),
        ]
    )
    def test_whole_reply_is_accepted(
        self, _name: str, data: bytes, body: bytes
    ) -> None:
        reply = anyio.run(call, RawReply(data))
        assert isinstance(reply, Reply)
        self.assertEqual((reply.head.status, reply.body), (200, body))

    @parameterized.expand(
        [
            ("reset", UNFRAMED + b"ab", "reset"),
            ("reset_after_head", UNFRAMED, "reset"),
            ("cut_in_head", HEAD + b"content-le", "close"),
            ("no_last_chunk", CHUNKED, "close"),
            ("short", HEAD + b"content-length: 9\r\n\r\nab", "close"),
        ]
    )
    def test_broken_reply_is_not_taken_for_a_complete_one(
        self, _name: str, data: bytes, ending: str
    ) -> None:
        result = anyio.run(call, RawReply(data, ending))
        self.assertEqual(result, EndpointFailedError)

    @parameterized.expand([("reset",), ("half_close",), ("half_close_reset",)])
    def test_part_of_a_reply_to_an_unread_upload_is_no_complete_one(
        self, ending: str
    ) -> None:
        result = anyio.run(call, RawReply(UNFRAMED + b"ab", ending), UPLOAD)
        self.assertEqual(result, EndpointFailedError)

    @parameterized.expand(
        [
            ("small_request", UNFRAMED + b"ab", b"x", 200),
            ("refusal", b"HTTP/1.1 413 Large\r\n\r\nab", UPLOAD, 413),
            ("no_body", b"HTTP/1.1 204 No Content\r\n\r\n", UPLOAD, 204),
        ]
    )
    def test_other_reply_is_accepted_without_a_length(
        self, _name: str, data: bytes, body: bytes, status: int
    ) -> None:
        reply = anyio.run(call, RawReply(data, "half_close"), body)
        assert isinstance(reply, Reply)
        self.assertEqual(reply.head.status, status)

    @parameterized.expand([(each,) for each in INVALID_STATUSES])
    def test_reply_with_invalid_status_is_not_passed_on(self, status: str) -> None:
        line = f"HTTP/1.1 {status} Odd\r\n".encode()
        reply = RawReply(line + b"content-length: 2\r\n\r\nab")
        self.assertEqual(anyio.run(call, reply), EndpointFailedError)

    @parameterized.expand(
        [
            ("head", HEAD, b"x-more: y\r\n" * 100),
            ("body", UNFRAMED, b"y" * 65536),
            ("failure", b"HTTP/1.1 500 Failed\r\n\r\n", b"y" * 65536),
            ("chunks", CHUNKED, b"8000\r\n" + b"y" * 32768 + b"\r\n"),
        ]
    )
    def test_bytes_without_end_are_cut_at_a_bound(
        self, _name: str, data: bytes, repeated: bytes
    ) -> None:
        began_at = time.monotonic()
        result = anyio.run(call, RawReply(data, "flood", repeated))
        self.assertEqual(result, EndpointFailedError)
        self.assertLess(time.monotonic() - began_at, LIMIT_S)

    @parameterized.expand(
        [
            ("interim", b"", "drip", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("body", UNFRAMED, "drip", b"y"),
            ("failure", b"HTTP/1.1 500 Failed\r\n\r\n", "drip", b"y"),
            ("small_chunks", CHUNKED, "flood", b"2\r\nab\r\n" * 100),
        ]
    )
    def test_slow_bytes_without_end_are_cut_in_time(
        self, _name: str, data: bytes, ending: str, repeated: bytes
    ) -> None:
        began_at = time.monotonic()
        with patch("agatehoist.endpoints.service.CALL_TIMEOUT_S", 0.3):
            result = anyio.run(call, RawReply(data, ending, repeated))
        self.assertEqual(result, EndpointFailedError)
        self.assertLess(time.monotonic() - began_at, LIMIT_S)

    def test_longest_reply_does_not_break_the_link_to_the_router(self) -> None:
        self.assertLess(MAX_REPLY_BYTES + MAX_HEAD_BYTES, MAX_FRAME_BYTES)


async def serve_twice(pause_s: float, channel: Channel) -> None:
    """Answer each request with its path, and again after a pause."""
    try:
        while request := await channel.receive():
            path = request.split()[1]
            length = f"content-length: {len(path)}".encode()
            reply = HEAD + length + b"\r\n\r\n" + path
            await channel.send(reply)
            await anyio.sleep(pause_s)
            await channel.send(reply)
    except ConnectionFailedError:
        channel.abort()
    finally:
        channel.close()


class SecondCopyTests(unittest.TestCase):
    # Case, pause before the second copy, pause before the next call.
    @parameterized.expand(
        [
            ("with_the_first", 0.0, 0.0),
            ("before_the_next_call", 0.01, 0.05),
            ("during_the_next_call", 0.05, 0.01),
        ]
    )
    def test_second_copy_of_a_reply_is_not_taken_for_the_next_one(
        self, _name: str, copy_pause_s: float, call_pause_s: float
    ) -> None:
        async def run() -> list[bytes]:
            bodies: list[bytes] = []
            serve = partial(serve_twice, copy_pause_s)
            async with listen_on_loopback(serve) as port:
                client = ServiceClient(f"http://{HOST}:{port}")
                for path in ("/first", "/second", "/third"):
                    reply = await client.call(CallWork("GET", path))
                    bodies.append(reply.body)
                    await anyio.sleep(call_pause_s)
                await client.aclose()
            return bodies

        self.assertEqual(anyio.run(run), [b"/first", b"/second", b"/third"])
