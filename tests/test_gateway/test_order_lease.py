"""Tests that one node at a time orders weights, whichever models they are of."""

from __future__ import annotations

import time
import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.gateway.order_lease import OrderLease
from agatehoist.gateway.plans import PLAN_KIND, read_plan, write_plan
from agatehoist.weights.types import ORDERS_PLAN, Plan
from agatehoist.weights.waves import ORDER_TRANSIT_S, TAKEOVER_SILENCE_S
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    run_standins,
    running_gateway,
    serve_gateway,
    until,
)
from tests.test_gateway.test_restored_plans import TURN_S, check_orders

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MODELS = (MODEL, "letters", "hymns")
IN_FORCE_S = 8.0
# The first order of a holder that needn't wait, with its wave and a drain.
STARTED_ORDER_S = 1.5
# A holder of an earlier release renews its plan at least this often.
RENEWAL_S = 0.5


def name_weights(world: GatewayHarness, model: str, version: int) -> None:
    """Set the target weights of a model, as operators do."""
    world.store.put("versions", model, {"Model": model, "Version": version})


def holder(world: GatewayHarness, model: str) -> str:
    """Return the holder of a stored plan."""
    return str(world.store.spec(PLAN_KIND, model)["holder"])


def have_weights(world: GatewayHarness, version: int) -> bool:
    """Return whether all engines have a version of all models."""
    return all(
        {each.version, *each.versions_by_other_model.values()} == {version}
        for each in world.engines
    )


def run_gateways(
    act: Callable[[GatewayHarness], Awaitable[None]], count: int, engine_count: int = 2
) -> GatewayHarness:
    """Run gateways that roll out weights of several models to the same engines."""
    world = GatewayHarness(engine_count, MODELS)

    async def run() -> None:
        async with run_standins(world) as store_port, AsyncExitStack() as stack:
            for number in range(count):
                gateway = serve_gateway(store_port, f"n{number}", True)
                await stack.enter_async_context(gateway)
            await act(world)

    anyio.run(run)
    return world


class SharedEndpointTests(unittest.TestCase):
    # The time between two models whose weights are named. Each plan was last held by
    # another node, as earlier releases left them.
    @parameterized.expand([("together", 0.0), ("one_after_the_other", 0.4)])
    def test_endpoints_with_several_models_get_orders_of_one_holder(
        self, _name: str, gap_s: float
    ) -> None:
        async def act(world: GatewayHarness) -> None:
            for number, model in enumerate(MODELS):
                plan = Plan(model, f"n{number}", 1, 1, 1)
                world.store.put(PLAN_KIND, model, write_plan(plan))
            await anyio.sleep(TAKEOVER_SILENCE_S + ORDER_TRANSIT_S)
            for model in MODELS:
                name_weights(world, model, 2)
                await anyio.sleep(gap_s)
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: have_weights(world, 2))

        world = run_gateways(act, 3)
        check_orders(self, world)
        holders = {each["Holder"] for engine in world.engines for each in engine.orders}
        self.assertEqual(len(holders), 1)

    def test_holder_of_an_earlier_release_keeps_its_turn_with_another_model(
        self,
    ) -> None:
        """Such a node renews the plan of its model and knows of no other lease."""
        last_written_at = 0.0

        async def act(world: GatewayHarness) -> None:
            nonlocal last_written_at
            now = anyio.current_time
            renewed_until = now() + 2.0
            beat = 0
            while now() < renewed_until:
                beat += 1
                plan = Plan("letters", "earlier", 7, 2, beat)
                world.store.put(PLAN_KIND, "letters", write_plan(plan))
                last_written_at = now()
                if beat == 1:
                    name_weights(world, MODEL, 2)
                await anyio.sleep(RENEWAL_S)
            await until(lambda: all(each.version == 2 for each in world.engines))

        world = run_gateways(act, 2, 1)
        (order,) = world.engines[0].orders
        self.assertGreaterEqual(
            world.engines[0].order_times[0], last_written_at + TURN_S
        )
        self.assertGreater(order["FencingToken"], 7)
        # The earlier release finds that it no longer holds the plan of its model.
        self.assertEqual(
            world.store.spec(PLAN_KIND, "letters")["holder"], order["Holder"]
        )

    def test_plans_and_orders_are_released_at_a_stop(self) -> None:
        """A plan that isn't released would delay the next holder."""
        world = GatewayHarness(2, MODELS)

        async def run() -> None:
            async with running_gateway(world, rolls_out_weights=True):
                for model in MODELS:
                    name_weights(world, model, 2)
                await until(lambda: have_weights(world, 2))
                world.state.leaving = True
                world.state.rollout_wakeup.set()
                await until(
                    lambda: world.store.spec(PLAN_KIND, ORDERS_PLAN)["released"]
                )

        anyio.run(run)
        for model in MODELS:
            self.assertTrue(world.store.spec(PLAN_KIND, model)["released"], model)


class WaitTests(unittest.TestCase):
    """Tests of the wait for the holder before, which the memory of a process loses."""

    # How many answers to the writes of the takeover are lost, and whether the process
    # that takes over is killed.
    @parameterized.expand(
        [
            ("calm", 0, False),
            ("answer_lost", 1, False),
            ("answers_lost", 3, False),
            ("killed", 0, True),
            ("killed_after_a_lost_answer", 1, True),
        ]
    )
    def test_next_holder_waits_for_the_orders_of_the_one_before(
        self, _name: str, lost_answers: int, is_killed: bool
    ) -> None:
        world = GatewayHarness(1, MODELS)
        released_at = 0.0

        async def run() -> None:
            nonlocal released_at
            async with run_standins(world) as store_port, AsyncExitStack() as stack:
                for model in (MODEL, ORDERS_PLAN):
                    plan = Plan(model, "before", 1, 1, 1, released=True)
                    world.store.put(PLAN_KIND, model, write_plan(plan))
                released_at = time.monotonic()
                async with serve_gateway(store_port, "n1", True):
                    world.store.unanswered_writes = lost_answers
                    name_weights(world, MODEL, 2)
                    await until(lambda: holder(world, ORDERS_PLAN) == "n1")
                    if not is_killed:
                        await until(lambda: world.engines[0].version == 2)
                if is_killed:
                    gateway = serve_gateway(store_port, "n1", True)
                    await stack.enter_async_context(gateway)
                    await until(lambda: world.engines[0].version == 2)

        anyio.run(run)
        (ordered_at,) = world.engines[0].order_times
        self.assertGreaterEqual(ordered_at, released_at + TURN_S)

    def test_started_holder_that_had_waited_orders_at_once(self) -> None:
        """Weights must not be late because their holder has started again."""
        world = GatewayHarness(1, MODELS)

        async def run() -> None:
            async with run_standins(world) as store_port:
                plan = Plan(ORDERS_PLAN, "n1", 1, 0, 1, orders_wait_s=3.3)
                world.store.put(PLAN_KIND, ORDERS_PLAN, write_plan(plan))
                plan = Plan(MODEL, "n1", 1, 1, 2, orders_wait_s=0.0)
                world.store.put(PLAN_KIND, MODEL, write_plan(plan))
                name_weights(world, MODEL, 2)
                async with serve_gateway(store_port, "n1", True):
                    with anyio.fail_after(STARTED_ORDER_S):
                        await until(lambda: bool(world.engines[0].orders))

        anyio.run(run)


class TakeoverTests(unittest.TestCase):
    def test_plan_created_after_another_node_took_over_is_not_held(self) -> None:
        """The next holder may have looked for plans before it was created."""
        world = GatewayHarness(1, MODELS)

        async def run() -> None:
            async with running_gateway(world):
                orders = OrderLease(world.state)
                self.assertTrue(await orders.acquire(0.0))
                taken = Plan(ORDERS_PLAN, "n2", 2, 0, 9)
                world.store.put(PLAN_KIND, ORDERS_PLAN, write_plan(taken))
                self.assertFalse(await orders.claim(Plan(MODEL, "n1", 0, 2, 1)))
                self.assertFalse(orders.is_held)

        anyio.run(run)
        self.assertIsNone(world.store.spec(PLAN_KIND, MODEL))

    def test_removed_plan_does_not_stop_a_takeover(self) -> None:
        """A plan of another node that operators have removed can't be taken over."""
        world = GatewayHarness(1, MODELS)

        async def run() -> None:
            async with running_gateway(world):
                earlier = Plan("letters", "n2", 1, 2, 1, released=True, idle_s=9.0)
                world.store.put(PLAN_KIND, "letters", write_plan(earlier))
                plans = world.state.weights.stored_plans_by_model
                await until(lambda: "letters" in plans)
                world.store.remove(PLAN_KIND, "letters")
                self.assertTrue(await OrderLease(world.state).acquire(0.0))

        anyio.run(run)

    # Tokens of the stored plans by node, and the one that a takeover by n1 begins.
    @parameterized.expand(
        [
            ("nobody_before", {}, 1),
            ("own_plan", {"n1": 4}, 4),
            ("another_before", {"n2": 4}, 5),
            ("another_ahead", {"n1": 4, "n2": 6}, 7),
            ("another_as_far", {"n1": 4, "n2": 4}, 5),
            ("another_behind", {"n1": 4, "n2": 3}, 4),
        ]
    )
    def test_token_is_above_those_of_all_other_holders(
        self, _name: str, tokens_by_node: dict[str, int], expected: int
    ) -> None:
        world = GatewayHarness(1, MODELS)

        async def run() -> None:
            for model, (node, token) in zip(
                MODELS, tokens_by_node.items(), strict=False
            ):
                plan = Plan(model, node, token, 1, 1, released=True, idle_s=9.0)
                world.store.put(PLAN_KIND, model, write_plan(plan))
            async with running_gateway(world):
                weights = world.state.weights
                await until(
                    lambda: len(weights.stored_plans_by_model) == len(tokens_by_node)
                )
                orders = OrderLease(world.state)
                self.assertTrue(await orders.acquire(0.0))
                self.assertEqual(orders.token, expected)

        anyio.run(run)
        stored = world.store.objects_by_kind[PLAN_KIND].values()
        plans = [read_plan(each["Spec"]) for each in stored]
        self.assertEqual({each.holder for each in plans}, {"n1"})
