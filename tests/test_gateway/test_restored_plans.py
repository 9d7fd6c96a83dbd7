"""Tests of roll-outs of weights while the store comes back from an older copy."""

from __future__ import annotations

import random
import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.gateway.plans import PLAN_KIND
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    run_standins,
    serve_gateway,
    until,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# The time between the orders of two holders, in which endpoints don't tell them apart.
TURN_S = 3.0
IN_FORCE_S = 8.0
OUTAGE_S = 0.5


def name_weights(world: GatewayHarness, number: int) -> None:
    """Set the target weights, as operators do."""
    world.store.put("versions", MODEL, {"Model": MODEL, "Version": number})


def have_weights(world: GatewayHarness, number: int) -> bool:
    """Return whether all engines have a weights version."""
    return all(each.version >= number for each in world.engines)


def beat(world: GatewayHarness) -> int:
    """Return how often the plan in the store was written."""
    plan = world.store.spec(PLAN_KIND, MODEL)
    return int(plan["beat"]) if plan else 0


def check_orders(test: unittest.TestCase, world: GatewayHarness) -> None:
    """Check that holders kept their turns and that no fencing token went back."""
    orders = sorted(
        (at, order["Holder"], order["FencingToken"])
        for each in world.engines
        for at, order in zip(each.order_times, each.orders, strict=True)
    )
    for (at, holder, token), (next_at, next_holder, next_token) in zip(
        orders, orders[1:], strict=False
    ):
        test.assertLessEqual(token, next_token)
        if holder != next_holder:
            test.assertLess(token, next_token)
            test.assertGreaterEqual(next_at - at, TURN_S)


def run_gateways(
    act: Callable[[GatewayHarness, AsyncExitStack], Awaitable[None]], count: int
) -> GatewayHarness:
    """Run gateways that roll out weights, on a store that states its era."""
    world = GatewayHarness(6)
    world.store.era = 1

    async def run() -> None:
        async with run_standins(world) as store_port, AsyncExitStack() as stack:
            for number in range(count):
                gateway = serve_gateway(store_port, f"n{number}", True)
                await stack.enter_async_context(gateway)
            await act(world, stack)

    anyio.run(run)
    return world


class RestoredPlanTests(unittest.TestCase):
    # Whether the copy is from before the plan, from its beginning, or newer.
    @parameterized.expand([("without_plan", 0), ("first_plan", 1), ("later_plan", 3)])
    def test_roll_out_goes_on_after_the_restore(
        self, _name: str, plans_in_copy: int
    ) -> None:
        async def act(world: GatewayHarness, _stack: AsyncExitStack) -> None:
            copied = world.store.copy()
            name_weights(world, 2)
            if plans_in_copy:
                await until(lambda: beat(world) >= plans_in_copy)
                copied = world.store.copy()
            await until(lambda: any(each.orders for each in world.engines))
            world.store.down = True
            world.store.abort_watches()
            await anyio.sleep(OUTAGE_S)
            world.store.restore(copied)
            world.store.down = False
            name_weights(world, 2)
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: have_weights(world, 2))

        check_orders(self, run_gateways(act, 2))

    @parameterized.expand([("seed_1", 1), ("seed_2", 2), ("seed_3", 3)])
    def test_one_holder_at_a_time_gives_orders_through_several_restores(
        self, _name: str, seed: int
    ) -> None:
        rng = random.Random(seed)

        async def act(world: GatewayHarness, _stack: AsyncExitStack) -> None:
            number = 1
            for _ in range(2):
                copied = world.store.copy()
                for _ in range(rng.randint(1, 3)):
                    number += 1
                    name_weights(world, number)
                    await anyio.sleep(rng.uniform(0.2, 1.5))
                world.store.down = True
                world.store.abort_watches()
                await anyio.sleep(rng.uniform(0.1, 1.5))
                world.store.restore(copied)
                world.store.down = False
                await anyio.sleep(rng.uniform(0.0, 0.4))
                name_weights(world, number)
            with anyio.fail_after(2 * IN_FORCE_S):
                await until(lambda: have_weights(world, number))

        check_orders(self, run_gateways(act, 3))
