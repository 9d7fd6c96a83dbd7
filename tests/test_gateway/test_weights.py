"""Tests of weights roll-outs to engines while requests run."""

from __future__ import annotations

import math
import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.gateway.endpoint_choice import latest_start, required_version
from agatehoist.gateway.peer_reports import (
    receive_waits,
    record_target_times,
    target_ages,
    waits_to_report,
)
from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.gateway.topics import WEIGHTS_TOPIC
from agatehoist.protocol.first_event_waits import encode_waits
from agatehoist.protocol.node_reports import NodeReport, TargetWeightsAge, endpoint_key
from agatehoist.stopping.schedule import StopSchedule
from agatehoist.storage.revisions import NO_REVISION
from agatehoist.weights.types import Plan, TargetWeights
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from tests.test_gateway.callers import slow_configuration

if TYPE_CHECKING:
    from standins.users_platform.endpoint import EndpointStandIn

# Allows for orders without a reply, which are retried after the call timeout.
ROLL_OUT_S = 10.0
# An answer has begun after this time and goes on while the weights change.
BEGUN_S = 0.1
LONG_STREAM_EVENTS = 300


def set_target_weights(world: GatewayHarness, version: int) -> None:
    """Set the target version in the store, as operators do."""
    world.store.put("versions", MODEL, {"Model": MODEL, "Version": version})


async def set_target_weights_later(world: GatewayHarness, version: int) -> None:
    """Set the target version once an answer has begun."""
    await anyio.sleep(BEGUN_S)
    set_target_weights(world, version)


async def wait_for_weights(engines: list[EndpointStandIn], version: int) -> None:
    """Wait until all engines have a version."""
    with anyio.fail_after(ROLL_OUT_S):
        await until(lambda: all(each.version == version for each in engines))


class RollOutTests(unittest.TestCase):
    # An order with the fault `lost` is executed, but its reply is not sent.
    @parameterized.expand(
        [("calm", []), ("answers_lost", ["lost"]), ("twice_lost", ["lost", "lost"])]
    )
    def test_each_engine_gets_one_order(
        self, _name: str, order_faults: list[str]
    ) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.order_faults = list(order_faults)

        async def run() -> None:
            async with running_gateway(world, rolls_out_weights=True):
                set_target_weights(world, 2)
                await wait_for_weights(world.engines, 2)

        anyio.run(run)
        for each in world.engines:
            self.assertEqual([order["Version"] for order in each.orders], [2])
            self.assertEqual({order["Holder"] for order in each.orders}, {"n1"})

    def test_replaced_version_is_not_ordered_again(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world, rolls_out_weights=True):
                set_target_weights(world, 2)
                await until(lambda: any(each.orders for each in world.engines))
                set_target_weights(world, 3)
                await wait_for_weights(world.engines, 3)

        anyio.run(run)
        later_orders = [order for each in world.engines for order in each.orders[1:]]
        self.assertNotIn(2, [order["Version"] for order in later_orders])
        # At most one engine gets an order for version 2, and all three for version 3.
        order_counts = [len(each.orders) for each in world.engines]
        self.assertLessEqual(sum(order_counts), 4)

    def test_stopping_node_completes_its_roll_out(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world, rolls_out_weights=True):
                set_target_weights(world, 2)
                await until(lambda: any(each.orders for each in world.engines))
                world.state.leaving = True
                stops_at = world.state.clock.now() + ROLL_OUT_S
                world.state.stop.schedule = StopSchedule(
                    stops_at, stops_at, stops_at, stops_at
                )
                await wait_for_weights(world.engines, 2)
                await until(lambda: not world.state.models_in_rollout)

        anyio.run(run)
        self.assertTrue(world.store.spec(PLAN_KIND, MODEL)["released"])

    def test_no_orders_are_sent_while_another_node_holds_the_plan(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world, rolls_out_weights=True):
                plan = Plan(MODEL, "n2", 1, 2, 1)
                world.store.put(PLAN_KIND, MODEL, write_plan(plan))
                set_target_weights(world, 2)
                await anyio.sleep(1.0)
                self.assertFalse(any(each.orders for each in world.engines))

        anyio.run(run)

    def test_requests_succeed_while_weights_change(self) -> None:
        world = GatewayHarness()
        statuses: list[int] = []

        async def ask(number: int) -> None:
            reply = await world.ask_prompt(
                "/trace/1", x_agatehoist_request_id=f"r{number}"
            )
            statuses.append(reply.head.status)

        async def run() -> None:
            async with running_gateway(world, rolls_out_weights=True):
                set_target_weights(world, 2)
                async with anyio.create_task_group() as task_group:
                    for number in range(40):
                        task_group.start_soon(ask, number)
                        await anyio.sleep(0.02)
                await wait_for_weights(world.engines, 2)

        anyio.run(run)
        self.assertEqual(statuses, [200] * 40)


class CutRunTests(unittest.TestCase):
    # The faults that the first attempts meet. The routes allow one and two attempts.
    @parameterized.expand(
        [
            ("begun_since_the_report", "/credit/1", [], True),
            ("without_an_attempt_left", "/trace/1", ["reset"], False),
        ]
    )
    def test_order_for_new_weights_cuts_no_run_that_cannot_go_on(
        self, _name: str, path: str, first_faults: list[str], is_report_old: bool
    ) -> None:
        world = GatewayHarness()
        changed = slow_configuration()
        for each in changed["Routes"]:
            if each["Name"] == "trace":
                each["MaxAttempts"] = 2
        changed["Services"][0]["Engine"]["Moves"] = False
        world.store.put("config", "main", changed)
        for each in world.engines:
            each.event_count = LONG_STREAM_EVENTS
            each.reports_no_runs = is_report_old

        async def run() -> bytes:
            async with running_gateway(world, rolls_out_weights=True):
                faults = list(first_faults)
                for each in world.engines:
                    each.faults = faults
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(set_target_weights_later, world, 2)
                    reply = await world.ask_prompt(path)
                    task_group.cancel_scope.cancel()
                return reply.body

        self.assertEqual(anyio.run(run).count(b"data:"), LONG_STREAM_EVENTS)


class StartTests(unittest.TestCase):
    # The time at which the listed weights were set is unknown, so older ones are used
    # only if no engine has the listed ones.
    @parameterized.expand([("one_engine_has_them", 1), ("no_engine_has_them", 0)])
    def test_weights_listed_at_start_are_used_if_an_engine_has_them(
        self, _name: str, updated: int
    ) -> None:
        world = GatewayHarness()
        set_target_weights(world, 2)
        for each in world.engines[:updated]:
            each.version = 2

        async def run() -> None:
            async with running_gateway(world):
                for number in range(12):
                    name = f"r{number}"
                    parts = f"{number:x}a:100,bb:30"
                    await world.ask_prompt(
                        "/trace/1",
                        x_agatehoist_request_id=name,
                        x_agatehoist_prompt_prefix=parts,
                    )

        anyio.run(run)
        used = [each.version for each in world.engines for _ in each.runs]
        self.assertEqual(set(used), {2} if updated else {1})
        self.assertEqual(len(used), 12)

    @parameterized.expand([("lately", 500, 0), ("long_before", 7500, 2)])
    def test_peer_report_sets_target_time(
        self, _name: str, age_ms: int, required: int
    ) -> None:
        world = GatewayHarness()
        set_target_weights(world, 2)
        report = NodeReport("n2", 5, 7, True, {}, (TargetWeightsAge(MODEL, 2, age_ms),))

        async def run() -> None:
            async with running_gateway(world):
                state = world.state
                now = state.clock.now()
                self.assertEqual(required_version(state, MODEL, now), 2)
                record_target_times(state, report, now)
                self.assertEqual(required_version(state, MODEL, now), required)

        anyio.run(run)

    # How long ago the gateway has started, how long ago the target was set if a peer
    # has told, whether the weights have been read, and the status of a request. All
    # engines have replaced weights.
    @parameterized.expand(
        [
            ("nobody_told_yet", 0.0, None, True, 200),
            ("nobody_told_for_long", 3.1, None, True, 503),
            ("told_it_was_lately", 0.0, 0.5, True, 200),
            ("told_it_was_lately_then", 3.1, 4.0, True, 200),
            ("told_it_is_overdue", 0.0, 7.5, True, 503),
            ("not_read_and_overdue", 0.0, 7.5, False, 503),
            ("not_read_and_lately", 3.1, 4.0, False, 200),
            ("nothing_known", 3.1, None, False, 200),
        ]
    )
    def test_started_gateway_uses_replaced_weights_only_until_they_are_overdue(
        self,
        _name: str,
        started_s: float,
        told_s: float | None,
        are_read: bool,
        expected: int,
    ) -> None:
        """Its start says nothing about the age of a target that others know."""
        world = GatewayHarness()
        if are_read:
            set_target_weights(world, 2)

        async def run() -> int:
            async with running_gateway(world):
                state = world.state
                now = state.clock.now()
                state.started_at = now - started_s
                if are_read:
                    await until(lambda: state.weights.target(MODEL) == 2)
                else:
                    state.feed.revisions_by_topic[WEIGHTS_TOPIC] = NO_REVISION
                if told_s is not None:
                    age = TargetWeightsAge(MODEL, 2, round(told_s * 1000))
                    report = NodeReport("n2", 5, 7, True, {}, (age,))
                    record_target_times(state, report, now)
                return (await world.ask_prompt("/trace/1")).head.status

        self.assertEqual(anyio.run(run), expected)
        self.assertEqual(len(world.runs()), int(expected == 200))


class SlowEndpointTests(unittest.TestCase):
    # How long ago the target was set, how long another request has waited at all
    # engines, which have replaced weights, and the status of a request.
    @parameterized.expand(
        [
            ("no_wait", 5.0, 0.0, 200),
            ("short_wait", 5.0, 1.0, 200),
            ("long_wait", 6.0, 2.0, 503),
            ("long_wait_in_time", 3.0, 2.0, 200),
            ("endless_wait", 3.5, 60.0, 200),
            ("endless_wait_in_half_of_the_time", 4.5, 60.0, 503),
        ]
    )
    def test_request_that_would_begin_late_goes_to_no_slow_endpoint(
        self, _name: str, age_s: float, wait_s: float, expected: int
    ) -> None:
        """A request may wait in an engine's queue until its weights are overdue."""
        world = GatewayHarness()

        async def run() -> int:
            async with running_gateway(world), AsyncExitStack() as stack:
                state, now = world.state, world.state.clock.now()
                state.started_at = now - 60.0
                state.weights.set_target(TargetWeights(MODEL, 2), now - age_s)
                for endpoint in state.fleet.by_name.values():
                    stack.enter_context(
                        state.load.first_events.waiting(
                            endpoint.lifetime, state.next_attempt_id(), now - wait_s
                        )
                    )
                return (await world.ask_prompt("/trace/1")).head.status

        self.assertEqual(anyio.run(run), expected)


class RunOnceTests(unittest.TestCase):
    # The path, how long ago the target was set, and the status of a request. All
    # engines have replaced weights and answer at once.
    @parameterized.expand(
        [
            ("resumable", "/trace/1", 6.6, 200),
            ("run_once", "/credit/1", 6.6, 503),
            ("run_once_in_time", "/credit/1", 6.0, 200),
        ]
    )
    def test_run_once_request_is_refused_before_it_may_have_to_be_taken_back(
        self, _name: str, path: str, age_s: float, expected: int
    ) -> None:
        """Its caller may try again after a refusal, but not once it has been sent."""
        world = GatewayHarness()

        async def run() -> int:
            async with running_gateway(world):
                state, now = world.state, world.state.clock.now()
                state.started_at = now - 60.0
                state.weights.set_target(TargetWeights(MODEL, 2), now - age_s)
                return (await world.ask_prompt(path)).head.status

        self.assertEqual(anyio.run(run), expected)
        self.assertEqual(len(world.runs()), int(expected == 200))


class PeerWaitTests(unittest.TestCase):
    # How long ago the target was set, how long requests of another gateway have waited
    # at the engines, which have replaced weights, and the status of a request.
    @parameterized.expand(
        [
            ("no_wait", 5.0, None, 200),
            ("long_wait", 6.0, 2.0, 503),
            ("long_wait_in_time", 3.0, 2.0, 200),
        ]
    )
    def test_request_goes_to_no_endpoint_that_peers_have_seen_slow(
        self, _name: str, age_s: float, told_s: float | None, expected: int
    ) -> None:
        """With many gateways, one has no requests of its own that tell of a queue."""
        world = GatewayHarness()

        async def run() -> int:
            async with running_gateway(world):
                state, now = world.state, world.state.clock.now()
                state.started_at = now - 60.0
                state.weights.set_target(TargetWeights(MODEL, 2), now - age_s)
                if told_s is not None:
                    endpoints = state.fleet.by_name.values()
                    keys = [endpoint_key(each.lifetime) for each in endpoints]
                    waits = dict.fromkeys(keys, told_s)
                    receive_waits(state, encode_waits(waits), now)
                return (await world.ask_prompt("/trace/1")).head.status

        self.assertEqual(anyio.run(run), expected)

    # The versions of the engines, of which 2 is the target, how long a request has
    # waited at one, and whether peers are told.
    @parameterized.expand(
        [
            ("replaced", (2, 2, 1), 0.9, True),
            ("short_wait", (2, 2, 1), 0.2, False),
            ("in_force", (2, 2, 2), 0.9, False),
        ]
    )
    def test_peers_are_told_of_waits_while_weights_are_replaced(
        self,
        _name: str,
        versions: tuple[int, ...],
        wait_s: float,
        is_told: bool,
    ) -> None:
        """The reports of a node are limited, and nothing else needs the waits."""
        world = GatewayHarness()
        for engine, version in zip(world.engines, versions, strict=True):
            engine.version = version

        async def run() -> set[bytes]:
            async with running_gateway(world):
                state, now = world.state, world.state.clock.now()
                state.weights.set_target(TargetWeights(MODEL, 2), now - 1.0)
                times, attempt = state.load.first_events, state.next_attempt_id()
                with times.waiting("engine-0@1", attempt, now - wait_s):
                    return set(waits_to_report(state))

        expected = {endpoint_key("engine-0@1")} if is_told else set()
        self.assertEqual(anyio.run(run), expected)


class WaitingRunTests(unittest.TestCase):
    # The path, how long ago the target was set as the request is sent, how long it
    # waits in the queue of its engine, and its status. All engines have replaced
    # weights, and no other request tells how long it waits there.
    @parameterized.expand(
        [
            ("resumable_in_time", "/trace/1", 5.5, 0.5, 200),
            ("resumable_late", "/trace/1", 5.5, 2.8, 502),
            ("run_once_in_time", "/credit/1", 5.5, 0.5, 200),
            ("run_once_late", "/credit/1", 5.5, 2.8, 502),
        ]
    )
    def test_run_that_waits_until_its_weights_are_overdue_never_begins(
        self, _name: str, path: str, age_s: float, queue_s: float, expected: int
    ) -> None:
        """Others fill the engine's queue, so no estimate covers the wait."""
        world = GatewayHarness()
        routes = [{**each, "TimeoutMs": 5000} for each in configuration()["Routes"]]
        world.store.put("config", "main", configuration(Routes=routes))
        for each in world.engines:
            each.queue_s = queue_s

        async def run() -> int:
            async with running_gateway(world):
                state, now = world.state, world.state.clock.now()
                state.started_at = now - 60.0
                state.weights.set_target(TargetWeights(MODEL, 2), now - age_s)
                status = (await world.ask_prompt(path)).head.status
                await until(lambda: not state.in_flight.count)
                await anyio.sleep(queue_s)
                return status

        self.assertEqual(anyio.run(run), expected)
        self.assertEqual(len(world.runs()), int(expected == 200))

    # How long ago the gateway has started and the target was set, as far as known from
    # the store and from a peer, and for how long a run may still begin.
    @parameterized.expand(
        [
            ("no_target", 60.0, None, None, math.inf),
            ("seen", 60.0, 5.0, None, 2.5),
            ("seen_earlier_by_a_peer", 60.0, 5.0, 5.2, 2.3),
            ("unknown_age", 1.0, math.inf, None, 2.5),
            ("unknown_age_told", 1.0, math.inf, 6.0, 1.5),
            ("not_read_but_told", 1.0, None, 6.0, 1.5),
        ]
    )
    def test_sent_run_may_begin_until_the_weights_are_nearly_overdue(
        self,
        _name: str,
        started_s: float,
        read_s: float | None,
        told_s: float | None,
        expected_s: float,
    ) -> None:
        """A process that doesn't know the age of a target mustn't wait for ever."""
        world = GatewayHarness()

        async def run() -> float:
            async with running_gateway(world):
                state = world.state
                now = state.clock.now()
                state.started_at = now - started_s
                if read_s is None:
                    state.feed.revisions_by_topic[WEIGHTS_TOPIC] = NO_REVISION
                else:
                    is_seen = not math.isinf(read_s)
                    target = TargetWeights(MODEL, 2)
                    state.weights.set_target(target, now - read_s, is_seen)
                if told_s is not None:
                    age = TargetWeightsAge(MODEL, 2, round(told_s * 1000))
                    report = NodeReport("n2", 5, 7, True, {}, (age,))
                    record_target_times(state, report, now)
                return latest_start(state, MODEL, 1) - now

        self.assertAlmostEqual(anyio.run(run), expected_s, places=3)


class ReportedAgeTests(unittest.TestCase):
    # How long ago the target was set, the versions of the engines, and whether peers
    # are told.
    @parameterized.expand(
        [
            ("lately", 1.0, (2, 2, 2), True),
            ("in_force", 9.0, (2, 2, 2), False),
            ("late", 9.0, (2, 2, 1), True),
            ("very_late", 600.0, (1, 1, 1), True),
        ]
    )
    def test_peers_are_told_of_a_target_until_it_is_in_force(
        self, _name: str, age_s: float, versions: tuple[int, ...], is_told: bool
    ) -> None:
        """Peers that have just started can't know how old an overdue target is."""
        world = GatewayHarness()
        for engine, version in zip(world.engines, versions, strict=True):
            engine.version = version

        async def run() -> list[tuple[str, int]]:
            async with running_gateway(world):
                state = world.state
                target = TargetWeights(MODEL, 2)
                state.weights.set_target(target, state.clock.now() - age_s)
                return [(each.model, each.version) for each in target_ages(state)]

        self.assertEqual(anyio.run(run), [(MODEL, 2)] if is_told else [])
