"""Tests of a plan that passes from one holder to the next."""

from __future__ import annotations

import unittest

import anyio

from agatehoist.gateway.model_endpoints import ModelEndpoints
from agatehoist.gateway.plan_lease import PlanLease
from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.weights.types import Plan, SeenPlan
from standins.users_platform.harness import MODEL, GatewayHarness, running_gateway

TURN_S = 3.0
# The other node's plan was last renewed so long ago that it may be taken over.
PLAN_AGE_S = 3.6


async def take_over(world: GatewayHarness) -> PlanLease:
    """Take over a plan whose holder may have sent orders until recently."""
    state = world.state
    kept = world.store.put(PLAN_KIND, MODEL, write_plan(Plan(MODEL, "n2", 1, 2, 1)))
    seen_at = state.clock.now() - PLAN_AGE_S
    revision = kept["Metadata"]["Revision"]
    seen = SeenPlan(Plan(MODEL, "n2", 1, 2, 1), revision, seen_at)
    holder = PlanLease(state, ModelEndpoints(state, MODEL))
    assert await holder.take_over(seen, seen_at), "the plan is free"
    return holder


class HandoverTests(unittest.TestCase):
    def test_release_counts_orders_of_previous_holder(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                holder = await take_over(world)
                await holder.release()

        anyio.run(run)
        self.assertLess(world.store.spec(PLAN_KIND, MODEL)["idle_s"], TURN_S)

    def test_taking_over_own_plan_keeps_the_wait_for_orders(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                holder = await take_over(world)
                order_at = holder.order_at
                self.assertGreater(order_at, world.state.clock.now())
                held = holder.held
                holder.held = None
                self.assertTrue(await holder.take_over(held, 0.0))
                self.assertGreaterEqual(holder.order_at, order_at)

        anyio.run(run)
