"""Tests of streams that are stopped while only their connection shows their end."""

from __future__ import annotations

import itertools
import unittest
from functools import partial
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_run_moves import (
    change_weights,
    crash,
    drain_while_running,
    refuse_copies,
    stream_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from standins.users_platform.endpoint import EndpointStandIn

EVENT_COUNT = 60
# Longer than a gateway waits for the end of a stream that it has stopped.
LATE_STOP_S = 0.4
SLOW_COPY_S = 0.1
NEVER_S = 60.0
# Such a stream takes longer than a copy is kept after an order without an answer.
LONG_EVENT_COUNT = 700
ROUTES = ("credit", "trace")


def moving_world(engine_count: int = 3, **fields: object) -> GatewayHarness:
    """Return stand-ins whose streams have time to move."""
    world = GatewayHarness(engine_count)
    world.store.put("config", "main", slow_configuration())
    for each in world.engines:
        each.event_count = EVENT_COUNT
        for name, value in fields.items():
            setattr(each, name, value)
    return world


def fail_destinations(world: GatewayHarness, source: EndpointStandIn) -> None:
    """Let no other endpoint have the run as it is stopped."""
    for each in world.engines:
        if each is not source:
            refuse_copies(world, each)
            crash(world, each)


def leave_only(
    world: GatewayHarness, source: EndpointStandIn, task_group: TaskGroup
) -> None:
    """Let no other endpoint serve, and this one reset its runs before it stops them."""
    source.on_move = lambda: None
    world.list_endpoint(source, State="ready")
    for each in world.engines:
        if each is not source:
            each.down_s = NEVER_S
            each.crash()
    task_group.start_soon(reset_runs, source)


async def reset_runs(source: EndpointStandIn) -> None:
    """Reset the runs of an endpoint after a while."""
    await anyio.sleep(SLOW_COPY_S)
    source._reset_runs()


class StoppedStreamTests(unittest.TestCase):
    # The route, on which a stream may be resumed or not, the answer to the call that
    # stops the run, when and where the stream is closed, and whether it has chunks.
    @parameterized.expand(
        [
            (
                f"{path}_{fault or 'answered'}_{place}_{framing}",
                path,
                fault,
                place,
                framing,
            )
            for path, fault, place, framing in itertools.product(
                ROUTES,
                ("", "lost", "late", "mute", "failed"),
                ("between_events", "inside_event", "late_between_events"),
                ("unframed", "chunked"),
            )
        ]
    )
    def test_stopped_stream_is_not_taken_as_complete(
        self, _name: str, path: str, fault: str, place: str, framing: str
    ) -> None:
        world = moving_world(
            are_unframed=framing == "unframed",
            stops_inside_event=place == "inside_event",
            stop_delay_s=LATE_STOP_S if place.startswith("late") else 0.0,
        )
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.move_faults.append(fault)
                _, body = await drain_while_running(world, f"/{path}/1")
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    @parameterized.expand([(each,) for each in ROUTES])
    def test_stream_closed_before_the_answer_to_its_stop_goes_on(
        self, path: str
    ) -> None:
        """The rest of the copy takes a while after the run has been stopped."""
        world = moving_world(
            are_unframed=True, before_copy=partial(anyio.sleep, SLOW_COPY_S)
        )
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                source, body = await drain_while_running(world, f"/{path}/1")
                bodies.append(body)
                self.assertEqual(source.stopped, {"r1"})

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    @parameterized.expand([(each,) for each in ROUTES])
    def test_stream_stopped_long_after_a_lost_answer_goes_on(self, path: str) -> None:
        """No other endpoint is left to move to again."""
        world = moving_world(
            engine_count=2, are_unframed=True, stop_delay_s=LATE_STOP_S
        )
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.move_faults.append("lost")
                _, body = await drain_while_running(world, f"/{path}/1")
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    # The answer to the call; the run ends by itself before it would be stopped.
    @parameterized.expand(itertools.product(ROUTES, ("lost", "late", "mute", "failed")))
    def test_stream_that_ends_before_its_stop_is_delivered_once(
        self, path: str, fault: str
    ) -> None:
        world = moving_world(are_unframed=True, stop_delay_s=NEVER_S)
        bodies: list[bytes] = []

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.move_faults.append(fault)
                _, body = await drain_while_running(world, f"/{path}/1")
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    @parameterized.expand([("at_once", 0.0), ("late", LATE_STOP_S)])
    def test_stopped_stream_that_cannot_go_on_is_not_ended_as_complete(
        self, _name: str, stop_delay_s: float
    ) -> None:
        world = moving_world(
            are_unframed=True, stop_delay_s=stop_delay_s, keeps_stopped_runs=False
        )
        failures: list[ConnectionFailedError] = []

        async def ask() -> None:
            try:
                await world.ask_prompt("/credit/1")
            except ConnectionFailedError as error:
                failures.append(error)

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                for each in world.engines:
                    each.move_faults.append("lost")
                    each.on_move = partial(fail_destinations, world, each)
                task_group.start_soon(ask)
                await until(lambda: any(each.active for each in world.engines))
                await anyio.sleep(0.1)
                (source,) = (each for each in world.engines if each.active)
                world.list_endpoint(source, State="draining")

        anyio.run(run)
        self.assertEqual(len(failures), 1)

    # The route, the answer to the call that stops the run, and what happens to the
    # other endpoints meanwhile. The source then has the run in memory.
    @parameterized.expand(
        [
            (f"{path}_{fault or 'answered'}_{name}", path, fault, fail)
            for path, fault, (name, fail) in itertools.product(
                ROUTES,
                ("", "lost"),
                (
                    ("no_room", refuse_copies),
                    ("crashed", crash),
                    ("other_weights", change_weights),
                ),
            )
        ]
    )
    def test_end_of_a_stream_that_goes_on_where_it_was_stopped_is_its_end(
        self,
        _name: str,
        path: str,
        fault: str,
        fail: Callable[[GatewayHarness, EndpointStandIn], None],
    ) -> None:
        """An order that has been carried out can't stop the run again."""
        world = moving_world(are_unframed=True)
        bodies: list[bytes] = []

        def fail_others(source: EndpointStandIn) -> None:
            for each in world.engines:
                if each is not source:
                    fail(world, each)

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.move_faults.append(fault)
                    each.on_move = partial(fail_others, each)
                _, body = await drain_while_running(world, f"/{path}/1")
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    # The answer to the call, on a route without retries. No endpoint has room for
    # another copy later, so that the order isn't repeated.
    @parameterized.expand([("lost",), ("failed",)])
    def test_stream_that_ends_long_after_an_order_without_effect_is_whole(
        self, fault: str
    ) -> None:
        world = moving_world(
            are_unframed=True,
            stop_delay_s=NEVER_S,
            keeps_stopped_runs=False,
            event_count=LONG_EVENT_COUNT,
        )
        bodies: list[bytes] = []

        def refuse_all_copies() -> None:
            for each in world.engines:
                refuse_copies(world, each)

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.move_faults.append(fault)
                    each.on_move = refuse_all_copies
                _, body = await drain_while_running(world, "/credit/1")
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(LONG_EVENT_COUNT)])

    def test_whole_stream_is_not_broken_off_once_the_retries_are_used_up(self) -> None:
        """Nothing but another run shows whether an order without effect cut it."""
        world = moving_world(engine_count=2, are_unframed=True, stop_delay_s=NEVER_S)
        bodies: list[bytes] = []

        async def spend_retries_later() -> None:
            await anyio.sleep(LATE_STOP_S)
            budget = world.state.retry_budget(world.engines[0].service)
            while budget.try_spend():
                pass

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                for each in world.engines:
                    each.move_faults.append("lost")
                task_group.start_soon(spend_retries_later)
                _, body = await drain_while_running(world, "/trace/1")
                bodies.append(body)

        anyio.run(run)
        self.assertEqual(bodies, [stream_of(EVENT_COUNT)])

    def test_late_stop_of_the_next_run_at_an_endpoint_is_not_taken_as_its_end(
        self,
    ) -> None:
        """The order was given for the run before, which was reset meanwhile."""
        world = moving_world(are_unframed=True, stop_delay_s=LATE_STOP_S)
        failures: list[ConnectionFailedError] = []

        async def ask() -> None:
            try:
                await world.ask_prompt("/trace/1")
            except ConnectionFailedError as error:
                failures.append(error)

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                for each in world.engines:
                    each.move_faults.extend(["lost"] * 9)
                    each.on_move = partial(leave_only, world, each, task_group)
                task_group.start_soon(ask)
                await until(lambda: any(each.active for each in world.engines))
                await anyio.sleep(0.1)
                (source,) = (each for each in world.engines if each.active)
                world.list_endpoint(source, State="draining")

        anyio.run(run)
        self.assertEqual(len(failures), 1)
