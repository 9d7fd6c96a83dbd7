"""Tests of runs that have begun when their weights expire."""

from __future__ import annotations

import unittest
from functools import partial
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.weights.types import TargetWeights
from standins.users_platform.endpoint import CHUNKED, STREAM
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    configuration,
    running_gateway,
)

if TYPE_CHECKING:
    from agatehoist.http1.server import ServerConnection
    from standins.users_platform.endpoint import EndpointStandIn, ReceivedRequest

LIMIT_AGE_S = 5.5
PREFILL_S = 2.8


async def prefill_slowly(
    endpoint: EndpointStandIn,
    first: bytes,
    connection: ServerConnection,
    run: ReceivedRequest,
    _count: int | None,
) -> bool:
    """Begin the answer, read the prompt for a while, and send the events."""
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    if first:
        await connection.send_data(first)
    await anyio.sleep(PREFILL_S)
    for number in range(1, 6):
        await connection.send_data(f"id: {number}\ndata: t{number}\n\n".encode())
    return True


class BegunRunTests(unittest.TestCase):
    # What the engine sends before it reads the prompt, 2.5 s before its weights expire.
    @parameterized.expand([("comment", b": wait\n\n")])
    def test_run_whose_answer_has_begun_in_time_is_not_withdrawn(
        self, _name: str, first: bytes
    ) -> None:
        world = GatewayHarness()
        routes = [{**each, "TimeoutMs": 5000} for each in configuration()["Routes"]]
        world.store.put("config", "main", configuration(Routes=routes))
        for each in world.engines:
            each._send_events = partial(prefill_slowly, each, first)  # type: ignore[method-assign]

        async def run() -> bytes:
            async with running_gateway(world):
                state, now = world.state, world.state.clock.now()
                state.started_at = now - 60.0
                state.weights.set_target(TargetWeights(MODEL, 2), now - LIMIT_AGE_S)
                reply = await world.ask_prompt("/credit/1")
                return b"%d %s" % (reply.head.status, reply.body)

        body = anyio.run(run)
        self.assertEqual(body.count(b"data:"), 5, body)
