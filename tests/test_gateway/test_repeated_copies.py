"""Tests of runs that can't be moved though their copy can be made."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized

from standins.users_platform.endpoint import EndpointStandIn
from standins.users_platform.harness import GatewayHarness, running_gateway
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_run_moves import drain_while_running, stream_of

if TYPE_CHECKING:
    from agatehoist.http1.server import ServerConnection

EVENT_COUNT = 100
MAX_COPIES = 2


class RepeatedCopyTests(unittest.TestCase):
    # How many retries are left, also those kept for failed requests.
    @parameterized.expand([("none", 0.9), ("one", 1.9), ("two", 2.9)])
    def test_run_is_not_copied_over_and_over(self, _name: str, left: float) -> None:
        """Copies are priced and hold a slot at each destination."""
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        copies: list[dict[str, Any]] = []

        async def count_copies(
            engine: EndpointStandIn, connection: ServerConnection, move: dict[str, Any]
        ) -> None:
            if not move["Last"]:
                copies.append(move)
            await EndpointStandIn._move_run(engine, connection, move)

        def counted(engine: EndpointStandIn) -> Any:
            return lambda connection, move: count_copies(engine, connection, move)

        for each in world.engines:
            each.event_count = EVENT_COUNT
            each._move_run = counted(each)  # type: ignore[method-assign]
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                budget = world.state.retry_budget(world.engines[0].service)
                budget._ratio = 0.0
                budget.set_slack(left)
                world.state._retry_slack = lambda: left  # type: ignore[method-assign]
                _, body = await drain_while_running(world, "/credit/1")
                bodies.append(body)
                await anyio.sleep(0.1)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])
        self.assertLessEqual(len(copies), MAX_COPIES)
