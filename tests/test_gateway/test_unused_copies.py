"""Tests of copies of runs whose callers leave."""

from __future__ import annotations

import unittest
from functools import partial

import anyio
from parameterized import parameterized

from standins.users_platform.harness import GatewayHarness, running_gateway, until
from tests.test_gateway.callers import (
    PROMPT_REQUEST,
    connect_as_caller,
    slow_configuration,
)
from tests.test_gateway.test_run_moves import drain_while_running

EVENT_COUNT = 300
COPY_S = 0.3
# Longer than a gateway waits for a stop on a route that allows another run.
LATE_COPY_S = 0.6


class CallerLeavesTests(unittest.TestCase):
    # Whether the caller leaves while the run is stopped, or while it is copied before.
    @parameterized.expand([("during_the_copy", False), ("during_the_stop", True)])
    def test_copy_for_a_caller_that_leaves_is_freed(
        self, _name: str, is_stopping: bool
    ) -> None:
        """It would hold a slot of its endpoint, and the retries those of others."""
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        copying = anyio.Event()

        async def copy_slowly() -> None:
            copying.set()
            await anyio.sleep(COPY_S)

        for each in world.engines:
            each.event_count = EVENT_COUNT
            if is_stopping:
                each.before_copy = copy_slowly
            else:
                each.before_first_copy = copy_slowly

        async def run() -> tuple[int, int]:
            async with running_gateway(world):
                with connect_as_caller(world.port) as sock:
                    sock.send(PROMPT_REQUEST)
                    await until(lambda: any(each.active for each in world.engines))
                    (source,) = (each for each in world.engines if each.active)
                    await anyio.sleep(0.1)
                    world.list_endpoint(source, State="draining")
                    await copying.wait()
                await anyio.sleep(3 * COPY_S)
                budget = world.state.retry_budget(source.service)
                freed = sum(len(each.freed) for each in world.engines)
                return freed, len(budget._retries_at)

        self.assertEqual(anyio.run(run), (1, 0))


class LateCopyTests(unittest.TestCase):
    # How long the rest of the copy takes after the run has been stopped.
    @parameterized.expand([("in_time", 0.0), ("late", LATE_COPY_S)])
    def test_copy_that_is_not_used_is_freed(self, _name: str, copy_s: float) -> None:
        """It would hold a slot of its endpoint, also if it arrives after the end."""
        world = GatewayHarness(2)
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count = EVENT_COUNT
            each.before_copy = partial(anyio.sleep, copy_s)
        left: list[str] = []

        async def run() -> None:
            async with running_gateway(world):
                source, _ = await drain_while_running(world, "/trace/1")
                await anyio.sleep(3 * LATE_COPY_S)
                (other,) = (each for each in world.engines if each is not source)
                left.extend(other._made_under_by_copy)

        anyio.run(run)
        self.assertEqual(left, [])
