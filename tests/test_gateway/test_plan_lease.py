"""Tests of a plan that passes from one holder to the next."""

from __future__ import annotations

import unittest

import anyio

from agatehoist.gateway.model_endpoints import ModelEndpoints
from agatehoist.gateway.plan_lease import PlanLease
from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.storage.revisions import Revision
from agatehoist.weights.types import Plan, SeenPlan
from standins.users_platform.harness import MODEL, GatewayHarness, running_gateway

TURN_S = 3.0
# Longer than RENEWAL_INTERVAL_S + MAX_START_DELAY_S: after that time, a plan that its
# holder hasn't renewed may be taken over.
PLAN_AGE_S = 3.6


async def take_over(world: GatewayHarness) -> PlanLease:
    """Take over a plan whose holder may have sent orders until recently."""
    state = world.state
    stored = world.store.put(PLAN_KIND, MODEL, write_plan(Plan(MODEL, "n2", 1, 2, 1)))
    seen_at = state.clock.now() - PLAN_AGE_S
    revision = Revision(0, stored["Metadata"]["Revision"])
    seen = SeenPlan(Plan(MODEL, "n2", 1, 2, 1), revision, seen_at)
    lease = PlanLease(state, ModelEndpoints(state, MODEL))
    assert await lease.take_over(seen, seen_at), "the plan could not be taken over"
    return lease


class HandoverTests(unittest.TestCase):
    def test_release_counts_idle_time_from_previous_holders_orders(self) -> None:
        """Possible orders of the holder before this one count for `idle_s` too."""
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                lease = await take_over(world)
                await lease.release()

        anyio.run(run)
        self.assertLess(world.store.spec(PLAN_KIND, MODEL)["idle_s"], TURN_S)

    def test_taking_over_own_plan_keeps_the_wait_for_orders(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                lease = await take_over(world)
                orders_allowed_at = lease.orders_allowed_at
                self.assertGreater(orders_allowed_at, world.state.clock.now())
                held = lease.held
                lease.held = None
                self.assertTrue(await lease.take_over(held, 0.0))
                self.assertGreaterEqual(lease.orders_allowed_at, orders_allowed_at)

        anyio.run(run)
