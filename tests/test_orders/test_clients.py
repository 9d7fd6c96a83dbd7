"""Tests of endless and invalid replies to orders."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.endpoints.errors import EndpointNotReachedError
from agatehoist.orders.clients import EngineOrderClient
from agatehoist.orders.errors import OrderOutcomeUnknownError
from agatehoist.orders.kinds import LoadWeights
from standins.raw_replies import RawReply, serve_raw

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LIMIT_S = 5.0
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"

CALLS: dict[str, Callable[[EngineOrderClient], Awaitable[object]]] = {
    "report": lambda client: client.report(),
    "order": lambda client: client.send(LoadWeights("m", "1"), 1, 0.0),
}


class EndlessReplyTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("report", "flood", b"y" * 65536, EndpointNotReachedError),
            ("report", "drip", b"y", EndpointNotReachedError),
            ("order", "flood", b"y" * 65536, OrderOutcomeUnknownError),
            ("order", "drip", b"y", OrderOutcomeUnknownError),
        ]
    )
    def test_endless_reply_is_cut_at_a_bound(
        self, name: str, ending: str, repeated: bytes, expected: type[Exception]
    ) -> None:
        async def run() -> None:
            async with serve_raw(RawReply(HEAD, ending, repeated)) as url:
                client = EngineOrderClient(url)
                try:
                    with anyio.fail_after(LIMIT_S):
                        await CALLS[name](client)
                except expected:
                    return
                finally:
                    await client.aclose()
            self.fail("no error")

        anyio.run(run)


class InvalidStatusTests(unittest.TestCase):
    # An engine that answers so may have accepted the order.
    @parameterized.expand([("000",), ("600",)])
    def test_order_answered_with_invalid_status_does_not_count_as_refused(
        self, status: str
    ) -> None:
        async def run() -> None:
            reply = RawReply(f"HTTP/1.1 {status} Odd\r\n\r\n".encode())
            async with serve_raw(reply) as url:
                client = EngineOrderClient(url)
                try:
                    await CALLS["order"](client)
                except OrderOutcomeUnknownError:
                    return
                finally:
                    await client.aclose()
            self.fail("no error")

        anyio.run(run)
