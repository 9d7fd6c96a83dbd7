"""Tests of a plan that passes from one holder to the next."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

import anyio

from agatehoist.gateway.model_endpoints import ModelEndpoints
from agatehoist.gateway.order_lease import OrderLease
from agatehoist.gateway.plan_lease import PlanLease
from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.storage.revisions import Revision
from agatehoist.weights.types import ORDERS_PLAN, Plan, SeenPlan
from standins.users_platform.harness import MODEL, GatewayHarness, running_gateway

TURN_S = 3.0
# Longer than RENEWAL_INTERVAL_S + MAX_START_DELAY_S: after that time, a plan that its
# holder hasn't renewed may be taken over.
PLAN_AGE_S = 3.6


@dataclass(frozen=True, slots=True)
class Leases:
    """Hold the leases on the orders of the fleet and on the plan of a model."""

    orders: OrderLease
    plan: PlanLease


async def take_over(world: GatewayHarness) -> Leases:
    """Take over the plan of a holder that may have sent orders until recently."""
    state = world.state
    stored = world.store.put(PLAN_KIND, MODEL, write_plan(Plan(MODEL, "n2", 1, 2, 1)))
    seen_at = state.clock.now() - PLAN_AGE_S
    revision = Revision(0, stored["Metadata"]["Revision"])
    state.record_plan(SeenPlan(Plan(MODEL, "n2", 1, 2, 1), revision, seen_at))
    orders = OrderLease(state)
    lease = PlanLease(state, ModelEndpoints(state, MODEL), orders)
    assert await lease.take_over(seen_at), "the plan could not be taken over"
    return Leases(orders, lease)


class HandoverTests(unittest.TestCase):
    def test_release_counts_idle_time_from_previous_holders_orders(self) -> None:
        """Possible orders of the holder before this one count for `idle_s` too."""
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                leases = await take_over(world)
                await leases.orders.release()

        anyio.run(run)
        for name in (MODEL, ORDERS_PLAN):
            plan = world.store.spec(PLAN_KIND, name)
            self.assertTrue(plan["released"])
            self.assertLess(plan["idle_s"], TURN_S)

    def test_taking_over_own_plan_keeps_the_wait_for_orders(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                leases = await take_over(world)
                orders_allowed_at = leases.orders.orders_allowed_at
                self.assertGreater(orders_allowed_at, world.state.clock.now())
                leases.orders.plan(MODEL).held = None
                leases.orders.plan(ORDERS_PLAN).held = None
                self.assertTrue(await leases.plan.take_over(0.0))
                self.assertGreaterEqual(
                    leases.orders.orders_allowed_at, orders_allowed_at
                )

        anyio.run(run)
