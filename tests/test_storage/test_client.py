"""Tests of the platform client with invalid responses."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

import anyio
import httpx
from parameterized import parameterized

from agatehoist.settings.types import PlatformSettings
from agatehoist.storage.client import PlatformClient
from agatehoist.storage.errors import PlatformUnavailableError
from standins.raw_replies import RawReply, serve_raw

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

LIMIT_S = 3.0
BODIES = [("html", b"<html>"), ("other_shape", b'{"a": 1}'), ("empty", b"")]

CALLS: list[tuple[str, Callable[[PlatformClient], Awaitable[Any]]]] = [
    ("get", lambda client: client.get("kind", "name")),
    ("names", lambda client: client.names("kind")),
    ("put", lambda client: client.put("kind", "name", {}, 1)),
    ("watch", lambda client: client.watch("kind", "name", 1)),
    ("hosts", lambda client: client.hosts()),
]


async def send(content: bytes) -> AsyncIterator[bytes]:
    """Yield the content of a response that is read as a stream."""
    yield content


class InvalidResponseTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{call}_{body}", make_call, content)
            for call, make_call in CALLS
            for body, content in BODIES
        ]
    )
    def test_raises_platform_unavailable(
        self,
        _name: str,
        make_call: Callable[[PlatformClient], Awaitable[Any]],
        content: bytes,
    ) -> None:
        def respond(_request: httpx.Request) -> httpx.Response:
            return httpx.Response(200, content=send(content))

        async def run_call() -> None:
            url = "http://platform"
            client = PlatformClient(PlatformSettings(url))
            transport = httpx.MockTransport(respond)
            client._http = httpx.AsyncClient(transport=transport, base_url=url)
            with self.assertRaises(PlatformUnavailableError):
                await make_call(client)
            await client.aclose()

        anyio.run(run_call)


class EndlessResponseTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{call}_{ending}", make_call, ending, repeated)
            for call, make_call in CALLS
            if call != "watch"
            for ending, repeated in [("flood", b"y" * 65536), ("drip", b"y")]
        ]
    )
    def test_endless_response_is_cut_at_a_bound(
        self,
        _name: str,
        make_call: Callable[[PlatformClient], Awaitable[Any]],
        ending: str,
        repeated: bytes,
    ) -> None:
        async def run() -> None:
            reply = RawReply(b"HTTP/1.1 200 OK\r\n\r\n", ending, repeated)
            async with serve_raw(reply) as url:
                client = PlatformClient(PlatformSettings(url))
                try:
                    with anyio.fail_after(LIMIT_S):
                        await make_call(client)
                except PlatformUnavailableError:
                    return
                finally:
                    await client.aclose()
            self.fail("no error")

        anyio.run(run)
