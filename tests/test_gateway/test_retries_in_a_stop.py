"""Tests of requests that were taken early in a stop and are tried again late."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.gateway.drain import drain
from agatehoist.stopping.durations import MIN_SAMPLES
from standins.users_platform.endpoint import FAULTS
from standins.users_platform.harness import GatewayHarness, running_gateway, until

if TYPE_CHECKING:
    from agatehoist.http1.server import ServerConnection
    from agatehoist.http1.types import Reply
    from standins.users_platform.endpoint import EndpointStandIn, ReceivedRequest

GRACE_S = 2.0
BROKEN_OFF_S = 0.3


@FAULTS.register("reset_later")
async def _reset_later(
    _endpoint: EndpointStandIn, connection: ServerConnection, _run: ReceivedRequest
) -> None:
    await anyio.sleep(BROKEN_OFF_S)
    connection.abort()


class RetriedStreamTests(unittest.TestCase):
    # When the stream is sent in the grace of 2 s; its engine breaks it off 0.3 s later.
    # From 0.6 s on no more streams are taken; idle connections are closed after 0.8 s.
    @parameterized.expand([("retried_early", 0.1), ("retried_late", 0.45)])
    def test_stream_that_was_taken_early_is_tried_again_while_there_is_time(
        self, _name: str, sent_s: float
    ) -> None:
        """No other process can serve what has been sent to an engine."""
        world = GatewayHarness()
        replies: list[Reply] = []

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                for _ in range(MIN_SAMPLES):
                    await world.ask_prompt("/trace/1")
                state = world.state
                state.settings = replace(state.settings, stop_grace_s=GRACE_S)
                faults = ["reset_later"]
                for each in world.engines:
                    each.faults = faults

                async def ask() -> None:
                    await anyio.sleep(sent_s)
                    replies.append(await world.ask_prompt("/trace/1"))

                task_group.start_soon(ask)
                task_group.start_soon(drain, state, int, anyio.current_time())
                await until(lambda: bool(replies))
                task_group.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(replies[0].head.status, 200, replies[0].body)
