"""Tests that broken or endless replies of an engine are not taken for complete ones."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio
from parameterized import parameterized

from agatehoist.cache.types import CacheEpoch, KvExport
from agatehoist.core.work import CompletionWork
from agatehoist.endpoints import EngineClient
from agatehoist.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointNotReachedError,
    EndpointRejectedError,
)
from agatehoist.endpoints.types import EndpointStatus, EngineEnd, EngineTokens
from standins.raw_replies import INVALID_STATUSES, RawReply, serve_raw

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Longer than the bounds on loopback, and shorter than READ_TIMEOUT_S.
LIMIT_S = 5.0
TEST_TIMEOUT_S = 20.0
STATUS = EndpointStatus("run-1", "1")
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
UNFRAMED = HEAD + b"\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
TOKEN = b'data: {"choices": [{"text": "a", "finish_reason": null}]}\n\n'
FINISH = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
USAGE = b'data: {"choices": [], "usage": {"prompt_tokens": 7}}\n\n'
DEEP = b"[" * 20_000 + b"]" * 20_000
DIGITS = b"9" * 5000
DONE = b"data: [DONE]\n\n"
# A separator of lines in Unicode, but not in a stream of events.
SEPARATOR = 'data: {"choices": [], "more": "\u2028"}\n\n'.encode()
ANSWER = TOKEN + TOKEN + FINISH + USAGE + DONE
END = EngineEnd("stop", 7, 0)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of chunked encoding."""
    return f"{len(data):x}".encode() + b"\r\n" + data + b"\r\n"


async def complete(
    reply: RawReply,
) -> tuple[int, EngineEnd | type[EndpointError] | None]:
    """Return the number of tokens and the end or the class of the error."""
    tokens = 0
    end = None
    async with serve_raw(reply) as url:
        client = EngineClient(url)
        try:
            with anyio.fail_after(TEST_TIMEOUT_S):
                work = CompletionWork("/v1/completions", b"{}", 7, 5)
                async for event in client.complete(work, "", 0, STATUS):
                    if isinstance(event, EngineTokens):
                        tokens += len(event.texts)
                    else:
                        end = event
        except EndpointError as error:
            return tokens, type(error)
        finally:
            await client.aclose()
    return tokens, end


async def _read_events(client: EngineClient) -> None:
    async for _ in client.cache.events():
        pass


EPOCH = b'"incarnation": "run-1", "weights_version": "1"'
EXPORTED = KvExport(CacheEpoch("run-1", "1"), ())

CACHE_REQUESTS: dict[str, Callable[[EngineClient], Awaitable[object]]] = {
    "listing": lambda client: client.cache.listing(),
    "export": lambda client: client.cache.export(["a"]),
    "import": lambda client: client.cache.import_blocks(EXPORTED),
    "events": _read_events,
}


class EndOfStreamTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("unframed", UNFRAMED + ANSWER, "close"),
            (
                "unframed_kept",
                HEAD + b"connection: keep-alive\r\n\r\n" + ANSWER,
                "close",
            ),
            ("chunks", CHUNKED + chunk(ANSWER) + b"0\r\n\r\n", "close"),
            ("line_separator", UNFRAMED + SEPARATOR + ANSWER, "close"),
            ("no_done_marker", UNFRAMED + ANSWER.removesuffix(DONE), "close"),
        ]
    )
    def test_whole_stream_is_accepted(
        self, _name: str, data: bytes, ending: str
    ) -> None:
        self.assertEqual(anyio.run(complete, RawReply(data, ending)), (2, END))

    # Of an incomplete event nothing counts, not even a whole line.
    @parameterized.expand(
        [
            ("reset", UNFRAMED + ANSWER, "reset", 2),
            ("cut_in_done_marker", UNFRAMED + ANSWER[:-5], "close", 2),
            ("cut_before_the_last_blank_line", UNFRAMED + ANSWER[:-1], "close", 2),
            ("cut_in_usage", UNFRAMED + TOKEN + FINISH + USAGE[:-1], "close", 1),
            ("cut_in_token", UNFRAMED + TOKEN + TOKEN[:-1], "close", 1),
            ("cut_after_token", UNFRAMED + TOKEN, "close", 1),
            ("cut_after_head", UNFRAMED, "close", 0),
            ("cut_in_head", HEAD, "close", 0),
            ("chunks_cut", CHUNKED + chunk(ANSWER[:-1]) + b"0\r\n\r\n", "close", 2),
            ("no_last_chunk", CHUNKED + chunk(ANSWER), "close", 2),
            ("short", HEAD + b"content-length: 999\r\n\r\n" + ANSWER, "close", 2),
        ]
    )
    def test_broken_stream_has_no_end(
        self, _name: str, data: bytes, ending: str, tokens: int
    ) -> None:
        result = anyio.run(complete, RawReply(data, ending))
        self.assertEqual(result, (tokens, EndpointFailedError))

    @parameterized.expand([(each,) for each in (*INVALID_STATUSES, "302")])
    def test_stream_with_other_status_than_success_is_no_answer(
        self, status: str
    ) -> None:
        data = UNFRAMED.replace(b"200", status.encode()) + ANSWER
        result = anyio.run(complete, RawReply(data))
        self.assertEqual(result, (0, EndpointFailedError))

    @parameterized.expand(
        [
            ("list", b"data: []\n\n"),
            ("number", b"data: 1\n\n"),
            ("choices", b'data: {"choices": 1}\n\n'),
            ("choice", b'data: {"choices": [1]}\n\n'),
            ("usage", b'data: {"choices": [], "usage": 1}\n\n'),
            ("not_text", b"data: \xff\n\n"),
            ("deep", b'data: {"choices": %s}\n\n' % DEEP),
            ("endless_digits", b'data: {"choices": %s}\n\n' % DIGITS),
        ]
    )
    def test_event_of_another_form_fails_the_completion(
        self, _name: str, event: bytes
    ) -> None:
        result = anyio.run(complete, RawReply(UNFRAMED + FINISH + event))
        self.assertEqual(result, (0, EndpointFailedError))

    @parameterized.expand(
        [
            ("list", b"[]"),
            ("number", b"1"),
            ("running", b'{"incarnation": "a", "weights_version": "1", "running": []}'),
            ("deep", DEEP),
            ("endless_digits", b'{"incarnation": %s}' % DIGITS),
            ("not_utf_8", b'{"incarnation": "\xff"}'),
            ("incarnation", b'{"incarnation": 1, "weights_version": "1"}'),
            ("surrogate", rb'{"incarnation": "\ud800", "weights_version": "1"}'),
            *(
                (
                    f"running_{number}"[:20],
                    b'{"incarnation":"a","weights_version":"1","running":%s}' % number,
                )
                for number in (b"1e400", b"-1", b"1" + b"0" * 400, b'"1"')
            ),
        ]
    )
    def test_status_of_another_form_does_not_end_the_sidecar(
        self, _name: str, body: bytes
    ) -> None:
        async def run() -> None:
            async with serve_raw(RawReply(UNFRAMED + body)) as url:
                client = EngineClient(url)
                try:
                    await client.status()
                except EndpointNotReachedError:
                    return
                finally:
                    await client.aclose()
            self.fail("no error")

        anyio.run(run)


class EndlessBytesTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("head", HEAD, b"x-more: y\r\n", EndpointFailedError),
            ("line", UNFRAMED, b"y" * 65536, EndpointFailedError),
            ("event", UNFRAMED, b"data: 1\n" * 512, EndpointFailedError),
            ("comments", UNFRAMED, b":\n\n" * 1000, EndpointFailedError),
            ("tokens", UNFRAMED, TOKEN * 100, EndpointFailedError),
            (
                "failure",
                b"HTTP/1.1 500 Failed\r\n\r\n",
                b"y" * 65536,
                EndpointFailedError,
            ),
            (
                "rejection",
                b"HTTP/1.1 400 Bad Request\r\n\r\n",
                b"y" * 65536,
                EndpointRejectedError,
            ),
        ]
    )
    def test_completion_is_cut_at_a_bound(
        self, _name: str, data: bytes, repeated: bytes, error: type[EndpointError]
    ) -> None:
        began_at = time.monotonic()
        _, result = anyio.run(complete, RawReply(data, "flood", repeated))
        self.assertEqual(result, error)
        self.assertLess(time.monotonic() - began_at, LIMIT_S)

    @parameterized.expand(
        [
            ("interim", b"", b"HTTP/1.1 100 Continue\r\n\r\n", EndpointFailedError),
            ("failure", b"HTTP/1.1 500 Failed\r\n\r\n", b"y", EndpointFailedError),
        ]
    )
    def test_slow_bytes_without_end_are_cut_in_time(
        self, _name: str, data: bytes, repeated: bytes, error: type[EndpointError]
    ) -> None:
        began_at = time.monotonic()
        with (
            patch("agatehoist.endpoints.engine.READ_TIMEOUT_S", 0.3),
            patch("agatehoist.endpoints.engine.ERROR_TIMEOUT_S", 0.3),
        ):
            _, result = anyio.run(complete, RawReply(data, "drip", repeated))
        self.assertEqual(result, error)
        self.assertLess(time.monotonic() - began_at, LIMIT_S)

    @parameterized.expand(
        [
            ("flood", "flood", b'{"incarnation": "' + b"y" * 65536),
            ("drip", "drip", b"y"),
        ]
    )
    def test_status_is_cut_at_a_bound(
        self, _name: str, ending: str, repeated: bytes
    ) -> None:
        async def run() -> None:
            reply = RawReply(b"HTTP/1.1 200 OK\r\n\r\n", ending, repeated)
            async with serve_raw(reply) as url:
                client = EngineClient(url)
                try:
                    with anyio.fail_after(LIMIT_S):
                        await client.status()
                except EndpointNotReachedError:
                    return
                finally:
                    await client.aclose()
            self.fail("no error")

        anyio.run(run)

    @parameterized.expand([("listing",), ("export",), ("events",)])
    def test_cache_reply_is_cut_at_a_bound(self, name: str) -> None:
        async def run() -> None:
            reply = RawReply(UNFRAMED, "flood", b"y" * 65536)
            async with serve_raw(reply) as url:
                client = EngineClient(url)
                try:
                    with anyio.fail_after(LIMIT_S):
                        await CACHE_REQUESTS[name](client)
                except EndpointFailedError:
                    return
                finally:
                    await client.aclose()
            self.fail("no error")

        anyio.run(run)


class CacheStatusTests(unittest.TestCase):
    # Each body is sound for its request.
    @parameterized.expand(
        [
            ("listing", b'{%s, "sequence": 1, "blocks": []}' % EPOCH),
            ("export", b'{%s, "blocks": []}' % EPOCH),
            ("import", b"{}"),
            ("events", b'{%s, "sequence": 1, "stored": [], "removed": []}\n' % EPOCH),
        ]
    )
    def test_reply_with_other_status_than_success_is_not_read(
        self, name: str, body: bytes
    ) -> None:
        async def run(status: bytes) -> bool:
            """Return whether the reply is taken for a sound one."""
            reply = RawReply(b"HTTP/1.1 " + status + b" Odd\r\n\r\n" + body)
            async with serve_raw(reply) as url:
                client = EngineClient(url)
                try:
                    with anyio.fail_after(LIMIT_S):
                        await CACHE_REQUESTS[name](client)
                except EndpointError:
                    return False
                finally:
                    await client.aclose()
            return True

        taken = [anyio.run(run, status) for status in (b"200", b"302", b"600")]
        self.assertEqual(taken, [True, False, False])
