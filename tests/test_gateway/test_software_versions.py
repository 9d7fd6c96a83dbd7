"""Tests of streams beside engines of other software versions."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.registry import Registry
from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_run_moves import stream_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from standins.users_platform.endpoint import EndpointStandIn

EVENT_COUNT = 60
OLD, NEW = "v1", "v2"

# What happens to the engine of a stream that has begun.
TROUBLES: Registry[Callable[..., Awaitable[None]]] = Registry("trouble of an engine")


@TROUBLES.register("crash")
async def _crash(_world: GatewayHarness, source: EndpointStandIn) -> None:
    source.crash()


@TROUBLES.register("leave")
async def _leave(world: GatewayHarness, source: EndpointStandIn) -> None:
    world.list_endpoint(source, State="draining")


@TROUBLES.register("leave_and_crash")
async def _leave_and_crash(world: GatewayHarness, source: EndpointStandIn) -> None:
    world.list_endpoint(source, State="draining")
    await anyio.sleep(0.05)
    source.crash()


@TROUBLES.register("restart")
async def _restart_with_other_software(
    world: GatewayHarness, source: EndpointStandIn
) -> None:
    source.restart()
    source.software = NEW
    world.list_endpoint(source)


async def set_software(
    world: GatewayHarness, source: EndpointStandIn, others: tuple[str, ...]
) -> None:
    """List the engines beside the source with these versions."""
    rest = (each for each in world.engines if each is not source)
    for engine, software in zip(rest, others, strict=True):
        engine.software = software
        world.list_endpoint(engine)
    await until(lambda: _are_known(world))


def _are_known(world: GatewayHarness) -> bool:
    listed = world.state.fleet.by_name
    return all(listed[each.name].software == each.software for each in world.engines)


def software_of(world: GatewayHarness, request_id: str) -> set[str]:
    """Return the versions that have run a request, also to continue it."""
    return {
        run.software
        for each in world.engines
        for run in (*each.runs, *each.continued_runs)
        if run.request_id == request_id
    }


class StreamWithinOneAnswerTests(unittest.TestCase):
    # What happens to the engine, and the versions of the two others: a stream goes on
    # only at its own.
    @parameterized.expand(
        [
            (f"{trouble}_{path}_{'_'.join(others)}", path, trouble, others)
            for path in ("trace", "credit")
            for trouble in ("crash", "leave", "leave_and_crash", "restart")
            for others in ((NEW, NEW), (OLD, NEW), (NEW, OLD))
        ]
    )
    def test_stream_is_not_continued_at_another_software_version(
        self, _name: str, path: str, trouble: str, others: tuple[str, ...]
    ) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count = EVENT_COUNT
        bodies: list[bytes] = []
        versions: list[set[str]] = []

        async def ask() -> None:
            try:
                bodies.append((await world.ask_prompt(f"/{path}/1")).body)
            except ConnectionFailedError:
                # A stream that can't go on must not look complete.
                bodies.append(b"")

        async def run() -> None:
            async with running_gateway(world):
                # The next request with this prompt goes to the same engine.
                await world.ask_prompt("/trace/1", x_agatehoist_request_id="r0")
                (source,) = (each for each in world.engines if each.runs)
                await set_software(world, source, others)
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(ask)
                    await until(lambda: any(each.active for each in world.engines))
                    await anyio.sleep(0.1)
                    await TROUBLES[trouble](world, source)
                versions.append(software_of(world, "r1"))

        anyio.run(run)
        self.assertEqual(versions, [{OLD}])
        goes_on = path == "trace" and OLD in others
        survives = trouble == "leave" or goes_on
        if survives:
            self.assertEqual(bodies, [stream_of(EVENT_COUNT)])
        else:
            self.assertIn(bodies, ([b""], [stream_of(EVENT_COUNT)]))
