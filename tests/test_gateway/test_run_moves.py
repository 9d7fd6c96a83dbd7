"""Tests of runs that move to another endpoint."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized

from agatehoist.gateway.drain import drain
from agatehoist.gateway.plans import write_plan
from agatehoist.storage.objects import Changes, ObjectChange, StoredValue
from agatehoist.storage.revisions import Revision
from agatehoist.weights.types import Plan, SeenPlan, TargetWeights
from standins.users_platform.endpoint import SILENCE_S
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from tests.test_gateway.callers import slow_configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.http1.types import Reply
    from standins.users_platform.endpoint import EndpointStandIn

EVENT_COUNT = 60
EVENTS_IN_A_STOP = 100
OUTAGE_S = 9.0


async def drain_while_running(
    world: GatewayHarness, path: str, **headers: str
) -> tuple[EndpointStandIn, bytes]:
    """Drain the endpoint that runs a request; return it and the whole reply."""
    done = anyio.Event()
    bodies: list[bytes] = []

    async def ask() -> None:
        bodies.append((await world.ask_prompt(path, **headers)).body)
        done.set()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(ask)
        await until(lambda: any(each.active for each in world.engines))
        (source,) = (each for each in world.engines if each.active)
        await anyio.sleep(0.1)
        entry = world.store.spec("servers", source.name)
        world.store.put("servers", source.name, {**entry, "State": "draining"})
        await done.wait()
    return source, bodies[0]


def changes_of(name: str, specs: list[Any]) -> Changes:
    """Return the changes in which a watch delivers versions of one object."""
    changes = tuple(
        ObjectChange(StoredValue(name, Revision(0, number), spec), removed=False)
        for number, spec in enumerate(specs, start=100)
    )
    return Changes(changes, changes[-1].value.revision)


def stream_of(event_count: int) -> bytes:
    """Return a complete stream."""
    numbers = range(1, event_count + 1)
    return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in numbers)


def refuse_copies(world: GatewayHarness, endpoint: EndpointStandIn) -> None:
    """Let an endpoint have no room for the copy of a run."""
    world.kv_network.receivers_by_address.pop(endpoint.address, None)


def crash(_world: GatewayHarness, endpoint: EndpointStandIn) -> None:
    """Let an endpoint crash."""
    endpoint.crash()


def change_weights(_world: GatewayHarness, endpoint: EndpointStandIn) -> None:
    """Let an endpoint change its weights before the gateway knows it."""
    endpoint.version = 2


def change_at_the_stop(world: GatewayHarness, source: EndpointStandIn) -> None:
    """Let an endpoint change its weights once the run has been stopped."""
    source.on_move = partial(change_weights, world, source)


def refuse_and_change(world: GatewayHarness, source: EndpointStandIn) -> None:
    """Leave no room for a copy, while the source waits to change its weights."""
    change_at_the_stop(world, source)
    for each in world.engines:
        if each is not source:
            refuse_copies(world, each)


def change_both(world: GatewayHarness, source: EndpointStandIn) -> None:
    """Let the destination change its weights while it takes the copy."""
    change_at_the_stop(world, source)
    for each in world.engines:
        if each is not source:
            each.before_first_copy = each.before_copy = partial(
                change_known_weights, world, each
            )


async def change_known_weights(
    world: GatewayHarness, endpoint: EndpointStandIn
) -> None:
    """Change the weights of an endpoint as the gateway learns of it."""
    endpoint.version = 2
    known = world.state.fleet.by_name[endpoint.name]
    world.state.fleet.note_version(known, MODEL, 2)


def lose_reply(_world: GatewayHarness, source: EndpointStandIn) -> None:
    """Let the source stop the run without a reply."""
    source.move_faults.append("lost")


def reset_while_copying(world: GatewayHarness, destination: EndpointStandIn) -> None:
    """Let the source change its weights, and reset its runs, during the copy."""

    async def reset() -> None:
        (source,) = (each for each in world.engines if each.active)
        source.change_weights(2)

    destination.before_first_copy = reset


def spend_retries(world: GatewayHarness, source: EndpointStandIn) -> None:
    """Let others use up the retries, and the destination refuse the run."""

    def spend() -> None:
        budget = world.state.retry_budget(source.service)
        while budget.try_spend():
            pass
        for each in world.engines:
            if each is not source:
                change_weights(world, each)

    source.on_move = spend


class MovingTests(unittest.TestCase):
    # Engines have version 1; the run that moves is stopped at the endpoint it leaves.
    @parameterized.expand([("in_force", 1, {"r1"}), ("replaced_long_ago", 2, set())])
    def test_run_moves_unless_its_weights_are_overdue(
        self, _name: str, named: int, stopped: set[str]
    ) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT

        async def run() -> None:
            async with running_gateway(world):
                weights = TargetWeights(MODEL, named)
                world.state.weights.set_target(weights, -math.inf)
                source, _ = await drain_while_running(world, "/credit/1")
                self.assertEqual(source.stopped, stopped)

        anyio.run(run)

    def test_moved_run_does_not_continue_on_newer_weights(self) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT

        def change_the_others() -> None:
            # Their weights change while the run is copied, and the gateway knows it.
            for endpoint in world.state.fleet.by_name.values():
                world.state.fleet.note_version(endpoint, MODEL, 2)
            for each in world.engines:
                each.version = 2

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.on_move = change_the_others
                _, body = await drain_while_running(world, "/trace/1")
                self.assertTrue(body.endswith(f"data: t{EVENT_COUNT}\n\n".encode()))

        anyio.run(run)
        continued = [run for each in world.engines for run in each.continued_runs]
        self.assertEqual(continued, [])

    # Case, which of the two other engines the last plan lists as changing, and whether
    # the source leaves instead of changing.
    @parameterized.expand(
        [
            ("first_other_by_plans", 0, False),
            ("second_other_by_plans", 1, False),
            ("first_other_by_two_topics", 0, True),
            ("second_other_by_two_topics", 1, True),
        ]
    )
    def test_run_does_not_move_before_all_that_was_read_is_known(
        self, _name: str, index: int, source_leaves: bool
    ) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT
        changing: list[str] = []

        async def run() -> None:
            async with running_gateway(world):
                state = world.state
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(world.ask_prompt, "/trace/1")
                    await until(lambda: any(each.active for each in world.engines))
                    await anyio.sleep(0.1)
                    (source,) = (each for each in world.engines if each.active)
                    others = [each for each in world.engines if each is not source]
                    changing.append(others[index].name)
                    lifetimes = [
                        state.fleet.by_name[each.name].lifetime
                        for each in (source, others[index])
                    ]
                    # The wave of the source began before the outage.
                    began_at = state.clock.now() - OUTAGE_S
                    before = Plan(MODEL, "n2", 1, 2, 1, (lifetimes[0],))
                    state.record_plan(SeenPlan(before, Revision(0, 1), began_at))
                    after = replace(before, beat=3, changing=tuple(lifetimes))
                    updates = {}
                    if source_leaves:
                        entry = world.store.spec("servers", source.name)
                        leaving = {**entry, "State": "draining"}
                        updates["endpoints"] = changes_of(source.name, [leaving])
                    plans = [write_plan(each) for each in (before, after)]
                    updates["plans"] = changes_of(MODEL, plans)
                    state.feed.apply(state, updates)

        anyio.run(run)
        continued = {each.name for each in world.engines if each.continued_runs}
        self.assertEqual(len(continued), 1)
        self.assertNotIn(changing[0], continued)

    # The run is stopped at once; the endpoint is silent for longer than other calls to
    # it may take before it names the copy. A stream that may be resumed isn't moved if
    # a new run is to be had earlier.
    @parameterized.expand(
        [
            ("not_resumable", "/credit/1", 2, True),
            ("resumable", "/trace/1", 2, False),
            ("last_run", "/trace/1", 1, True),
        ]
    )
    def test_silence_during_a_move_does_not_break_the_stream(
        self, _name: str, path: str, max_runs: int, is_moved: bool
    ) -> None:
        world = GatewayHarness()
        fields = {"TimeoutMs": 6000, "MaxAttempts": max_runs}
        routes = [{**each, **fields} for each in configuration()["Routes"]]
        world.store.put("config", "main", configuration(Routes=routes))
        for each in world.engines:
            each.event_count = EVENT_COUNT
            each.before_copy = partial(anyio.sleep, SILENCE_S)
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                _, body = await drain_while_running(world, path)
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])
        continued = [run for each in world.engines for run in each.continued_runs]
        self.assertEqual(len(continued), is_moved)

    @parameterized.expand([("/credit/1",), ("/trace/1",)])
    def test_run_moves_from_draining_endpoint(self, path: str) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                source, body = await drain_while_running(world, path)
                bodies.append(body)
                self.assertEqual(source.stopped, {"r1"})

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])
        self.assertEqual(world.runs(), ["r1"])

    # What happens to the destinations as the run is stopped. The stream of the first
    # path may not be resumed elsewhere.
    @parameterized.expand(
        [
            (f"{name}_{path}", fail, f"/{path}/1")
            for name, fail in (
                ("no_room", refuse_copies),
                ("crashed", crash),
                ("other_weights", change_weights),
            )
            for path in ("credit", "trace")
        ]
    )
    def test_run_that_no_other_endpoint_takes_goes_on_where_it_was(
        self,
        _name: str,
        fail: Callable[[GatewayHarness, EndpointStandIn], None],
        path: str,
    ) -> None:
        """A stopped run must not be lost: its source keeps it in memory."""
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT
        bodies: list[bytes] = []

        def fail_others(source: EndpointStandIn) -> None:
            for each in world.engines:
                if each is not source:
                    fail(world, each)

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.on_move = partial(fail_others, each)
                source, body = await drain_while_running(world, path)
                bodies.append(body)
                self.assertTrue(source.continued_runs or path == "/trace/1")

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    def test_run_does_not_move_to_an_endpoint_that_has_not_answered_since_it_failed(
        self,
    ) -> None:
        """A crashed endpoint has the fewest runs, and is listed for a while."""
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT

        async def run() -> None:
            async with running_gateway(world):
                # The next request with this prompt goes to the same endpoint.
                await world.ask_prompt("/trace/1", x_agatehoist_request_id="r0")
                others = [each for each in world.engines if not each.runs]
                endpoints = [world.state.fleet.by_name[each.name] for each in others]
                # The suspicion is over, but nobody has heard of the endpoint since.
                long_ago = world.state.clock.now() - 60.0
                world.state.suspects.note_failure(others[0].name, long_ago)
                world.state.load.track(endpoints[1].lifetime, 0)
                await drain_while_running(world, "/credit/1")
                self.assertEqual(len(others[1].continued_runs), 1)

        anyio.run(run)

    # What happens as the run moves, and whether it is continued elsewhere.
    @parameterized.expand(
        [
            ("no_room_and_source_changes", refuse_and_change, False),
            ("both_change", change_both, False),
            ("reply_lost", lose_reply, True),
            ("reset_while_copying", reset_while_copying, True),
            ("retries_used_up", spend_retries, False),
        ]
    )
    def test_run_that_may_not_be_resumed_survives_a_move_that_fails(
        self,
        _name: str,
        fail: Callable[[GatewayHarness, EndpointStandIn], None],
        is_moved: bool,
    ) -> None:
        """A run may be stopped only while it can be continued."""
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count = EVENT_COUNT
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    fail(world, each)
                source, body = await drain_while_running(world, "/credit/1")
                bodies.append(body)
                others = [each for each in world.engines if each is not source]
                moved = any(each.continued_runs for each in others)
                self.assertEqual(moved, is_moved)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    # The grace of the stop, of which an eighth is left for what is cut, how long after
    # its begin the endpoint leaves, and whether the run, of one second, moves.
    @parameterized.expand([("in_time", 8.0, 0.0, True), ("late", 2.0, 0.6, False)])
    def test_run_is_not_stopped_for_a_move_that_the_stop_of_its_gateway_cuts(
        self, _name: str, grace_s: float, leaves_after_s: float, is_moved: bool
    ) -> None:
        """Its endpoint may end it in time, or must be at work when it is cut."""
        world = GatewayHarness()
        fields = {"TimeoutMs": 6000}
        routes = [{**each, **fields} for each in configuration()["Routes"]]
        world.store.put("config", "main", configuration(Routes=routes))
        for each in world.engines:
            each.event_count = EVENTS_IN_A_STOP
            if not is_moved:
                each.before_copy = partial(anyio.sleep, SILENCE_S)
        replies: list[Reply] = []

        async def ask() -> None:
            replies.append(await world.ask_prompt("/credit/1"))

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                state = world.state
                state.settings = replace(state.settings, stop_grace_s=grace_s)
                task_group.start_soon(ask)
                await until(lambda: any(each.active for each in world.engines))
                (source,) = (each for each in world.engines if each.active)
                await anyio.sleep(0.1)
                task_group.start_soon(drain, state, int, anyio.current_time())
                await anyio.sleep(leaves_after_s)
                world.list_endpoint(source, State="draining")
                await until(lambda: bool(replies))
                self.assertEqual(source.stopped, {"r1"} if is_moved else set())

        anyio.run(run)
        self.assertEqual(replies[0].body, stream_of(EVENTS_IN_A_STOP))

    def test_copy_that_is_not_used_is_freed(self) -> None:
        """It would hold a slot of its endpoint."""
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count = EVENT_COUNT

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    change_both(world, each)
                await drain_while_running(world, "/credit/1")
                freed = [handle for each in world.engines for handle in each.freed]
                self.assertIn("copy-of-r1", freed)

        anyio.run(run)
