"""Tests of runs that move as their weights expire."""

from __future__ import annotations

import unittest
from functools import partial

import anyio

from agatehoist.weights.types import TargetWeights
from standins.users_platform.harness import MODEL, GatewayHarness, running_gateway
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_run_moves import drain_while_running

EVENT_COUNT = 300
# The harness's weights may be used for 8 s.
AGE_S = 6.4
LIMIT_S = 8.0
STOP_S = 1.7


class LateMoveTests(unittest.TestCase):
    def test_run_does_not_go_on_elsewhere_on_overdue_weights(self) -> None:
        """The destination is checked before the stop, which may take longer."""
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count = EVENT_COUNT
            each.before_copy = partial(anyio.sleep, STOP_S)
        replaced_at: list[float] = []

        async def run() -> None:
            async with running_gateway(world):
                state, now = world.state, world.state.clock.now()
                state.started_at = now - 60.0
                state.weights.set_target(TargetWeights(MODEL, 2), now - AGE_S)
                replaced_at.append(anyio.current_time() - AGE_S)
                await drain_while_running(world, "/credit/1")

        anyio.run(run)
        ages = [
            each.received_at - replaced_at[0]
            for engine in world.engines
            for each in engine.continued_runs
        ]
        self.assertLessEqual(max(ages, default=0.0), LIMIT_S)
