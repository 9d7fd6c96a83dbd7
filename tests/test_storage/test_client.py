"""Tests of the platform client with invalid responses."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING, Any

import anyio
import httpx
from parameterized import parameterized

from agatehoist.membership.encoding import pack_hosts, unpack_hosts
from agatehoist.settings.types import PlatformSettings
from agatehoist.storage.client import PlatformClient
from agatehoist.storage.errors import PlatformUnavailableError
from standins.raw_replies import RawReply, serve_raw
from tests.test_platform.odd_entries import DEEP_LIST, ENDLESS_DIGITS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

LIMIT_S = 3.0
BODIES = [
    ("html", b"<html>"),
    ("other_shape", b'{"a": 1}'),
    ("empty", b""),
    ("deep", DEEP_LIST.encode()),
    ("endless_digits", ENDLESS_DIGITS.encode()),
    ("not_utf_8", b'{"a": "\xff"}'),
    ("surrogate", rb'{"kind": "k", "name": "\ud800", "version": 1, "value": 1}'),
    ("huge", b'{"kind": "k", "name": "n", "version": 1%s, "value": 1}' % (b"0" * 400)),
]
OBJECT = b'{"kind": "kind", "name": "name", "version": 1, "value": 1}'
HOST_ENTRY = {
    "host": "h1",
    "address": "10.0.0.1",
    "port": 7001,
    "data_centre": "dc1",
    "region": "coast",
    "kind": "engine",
    "serves": "songs",
    "state": "live",
}


def client_of(content: bytes) -> PlatformClient:
    """Return a client of a platform that answers each call with this body."""

    def respond(_request: httpx.Request) -> httpx.Response:
        return httpx.Response(200, content=send(content))

    url = "http://platform"
    client = PlatformClient(PlatformSettings(url))
    transport = httpx.MockTransport(respond)
    client._http = httpx.AsyncClient(transport=transport, base_url=url)
    return client


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
        async def run_call() -> None:
            client = client_of(content)
            with self.assertRaises(PlatformUnavailableError):
                await make_call(client)
            await client.aclose()

        anyio.run(run_call)


class OtherStatusTests(unittest.TestCase):
    # Each body is sound for its call.
    @parameterized.expand(
        [
            (f"{call}_{status}", make_call, f"{status} Odd\r\n\r\n".encode() + body)
            for call, make_call, body in (
                ("get", CALLS[0][1], OBJECT),
                ("put", CALLS[2][1], OBJECT),
                ("watch", CALLS[3][1], OBJECT),
                ("names", CALLS[1][1], b"[]"),
                ("delete", lambda client: client.delete("kind", "name"), b""),
            )
            for status in (302, 600)
        ]
    )
    def test_reply_with_other_status_than_success_is_none(
        self,
        _name: str,
        make_call: Callable[[PlatformClient], Awaitable[Any]],
        rest: bytes,
    ) -> None:
        async def run() -> None:
            reply = RawReply(b"HTTP/1.1 " + rest)
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


class HostListTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("number", "7"),
            ("deep", DEEP_LIST),
            ("no_fields", "{}"),
            *(
                (
                    f"{field}_{name}",
                    json.dumps({**HOST_ENTRY, field: "odd"}).replace('"odd"', text),
                )
                for field, name, text in (
                    ("port", "zero", "0"),
                    ("port", "high", "65536"),
                    ("port", "negative", "-1"),
                    ("port", "endless", ENDLESS_DIGITS),
                    ("port", "huge", "1" + "0" * 400),
                    ("port", "words", '"x"'),
                    ("port", "infinite", "1e400"),
                    ("host", "surrogate", r'"\ud800"'),
                    ("state", "unknown", '"odd"'),
                    ("address", "deep", DEEP_LIST),
                )
            ),
        ]
    )
    def test_odd_host_hides_no_other(self, _name: str, text: str) -> None:
        sound = json.dumps(HOST_ENTRY)

        async def run() -> tuple[str, ...]:
            client = client_of(f"[{sound},{text},{sound}]".encode())
            hosts = await client.hosts()
            await client.aclose()
            # Peers get the list from the process that has read it.
            return tuple(each.host for each in unpack_hosts(pack_hosts(hosts)))

        self.assertEqual(anyio.run(run), ("h1", "h1"))


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
