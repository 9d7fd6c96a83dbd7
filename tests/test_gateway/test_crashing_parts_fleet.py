"""Tests of prompt parts that crash engines, with gateways as processes."""

from __future__ import annotations

import itertools
import tempfile
import time
import unittest
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread
from parameterized import parameterized

from agatehoist.core.registry import Registry
from standins.fleet import Fleet
from standins.users_platform.harness import GatewayHarness, run_standins, until
from standins.users_platform.processes import start_gateway
from standins.users_platform.prompts import MAX_LATE_RUNS, STABLE_S, PromptCaller
from tests.test_gateway.test_processes import RunningGateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

GATEWAYS = ("gateway-0", "gateway-1", "gateway-2", "gateway-3")
ADDED_GATEWAY = "gateway-4"
ENGINE_COUNT = 12
DOWN_S = 0.3
# The crashes after which a part must be known, and the most requests sent to get them.
CRASHES = 5
MAX_REQUESTS = 20
LATE_REQUESTS = 12
INTERVAL_S = 0.1
DEADLY_PROMPT = ("choir", "bad", "verse")
SOUND_PROMPT = ("choir", "verse")

# Ends of the absences in which a gateway misses what its peers learn.
ABSENCES: Registry[Callable[..., Awaitable[None]]] = Registry("absence of a gateway")


class DeadlyTraffic:
    """Send deadly and sound requests to gateways in turn."""

    def __init__(self, gateways: RunningGateway) -> None:
        self.gateways = gateways
        self.deadly = PromptCaller(gateways.world, "/credit/1")
        self.sound = PromptCaller(gateways.world, "/credit/1")

    async def crash_engines(self, names: Sequence[str]) -> None:
        """Send deadly requests until the fifth crash."""
        for name in itertools.islice(itertools.cycle(names), MAX_REQUESTS):
            await self.deadly.ask(DEADLY_PROMPT, self._port(name))
            if sum(len(e.crashes) for e in self.gateways.world.engines) >= CRASHES:
                return
            await anyio.sleep(INTERVAL_S)

    async def send_late(self, names: Sequence[str]) -> None:
        """Send deadly requests that must be refused, except for the allowed ones."""
        for name in itertools.islice(itertools.cycle(names), LATE_REQUESTS):
            await self.deadly.ask(DEADLY_PROMPT, self._port(name))
            await anyio.sleep(INTERVAL_S)

    async def run_sound(self) -> None:
        """Send sound requests until cancelled."""
        for name in itertools.cycle(GATEWAYS):
            await self.sound.ask(SOUND_PROMPT, self._port(name))
            await anyio.sleep(INTERVAL_S / 2)

    def _port(self, name: str) -> int:
        return self.gateways.fleet.ports_by_name[name]


def world_with_a_deadly_part() -> GatewayHarness:
    """Return endpoints that a part of prompts crashes."""
    world = GatewayHarness(ENGINE_COUNT)
    world.deadly_parts.add("bad")
    for each in world.engines:
        each.down_s = DOWN_S
    return world


@asynccontextmanager
async def running_gateways(
    world: GatewayHarness | None = None,
) -> AsyncIterator[RunningGateway]:
    """Run gateways that know each other while the context is open."""
    world = world or world_with_a_deadly_part()
    async with run_standins(world) as store_port:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            gateways = RunningGateway(world, fleet, store_port)
            try:
                for name in GATEWAYS:
                    start_gateway(fleet, name, store_port)
                for name in GATEWAYS:
                    await wait_until_ready(gateways, name)
                await until(lambda: all(knows_peers(fleet, n) for n in GATEWAYS))
                yield gateways
            finally:
                fleet.kill_all()


async def wait_until_ready(gateways: RunningGateway, name: str) -> None:
    """Wait until a gateway is ready."""
    with anyio.fail_after(20.0):
        while await gateways.readiness(name) != 200:  # noqa: ASYNC110
            await anyio.sleep(INTERVAL_S)


def knows_peers(fleet: Fleet, name: str) -> bool:
    """Return whether a gateway has logged that it knows all the others."""
    return any(
        "nodes counted" in line and f'"count": {len(GATEWAYS)},' in line
        for line in fleet.log(name).splitlines()
    )


@ABSENCES.register("killed")
async def _restart(gateways: RunningGateway) -> None:
    await anyio.to_thread.run_sync(gateways.fleet.kill, GATEWAYS[0])
    gateways.fleet.restart(GATEWAYS[0])
    await wait_until_ready(gateways, GATEWAYS[0])


@ABSENCES.register("suspended")
async def _resume(gateways: RunningGateway) -> None:
    gateways.fleet.resume(GATEWAYS[0])


@ABSENCES.register("added")
async def _add(gateways: RunningGateway) -> None:
    start_gateway(gateways.fleet, ADDED_GATEWAY, gateways.store_port)
    await wait_until_ready(gateways, ADDED_GATEWAY)


class FleetTests(unittest.TestCase):
    # The gateways that get deadly requests before the fifth crash, and those after it.
    @parameterized.expand(
        [
            ("each_in_turn", GATEWAYS, GATEWAYS),
            ("all_but_one", GATEWAYS[1:], GATEWAYS[:1]),
            ("another_than_before", GATEWAYS[:1], GATEWAYS[1:]),
        ]
    )
    def test_gateway_that_saw_few_crashes_knows_the_part(
        self, _name: str, before: tuple[str, ...], after: tuple[str, ...]
    ) -> None:
        async def run() -> tuple[DeadlyTraffic, float]:
            async with running_gateways() as gateways:
                traffic = DeadlyTraffic(gateways)
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(traffic.run_sound)
                    await traffic.crash_engines(before)
                    await anyio.sleep(STABLE_S)
                    known_at = time.monotonic()
                    await traffic.send_late(after)
                    task_group.cancel_scope.cancel()
                return traffic, known_at

        self.check_late_requests(*anyio.run(run))

    @parameterized.expand([(str(each),) for each in ABSENCES])
    def test_gateway_that_was_away_knows_the_part(self, absence: str) -> None:
        async def run() -> tuple[DeadlyTraffic, float]:
            async with running_gateways() as gateways:
                traffic = DeadlyTraffic(gateways)
                if absence == "suspended":
                    gateways.fleet.suspend(GATEWAYS[0])
                await traffic.crash_engines(GATEWAYS[1:])
                await anyio.sleep(STABLE_S)
                await ABSENCES[absence](gateways)
                name = ADDED_GATEWAY if absence == "added" else GATEWAYS[0]
                await anyio.sleep(STABLE_S)
                known_at = time.monotonic()
                await traffic.send_late([name])
                await traffic.sound.ask(
                    SOUND_PROMPT, gateways.fleet.ports_by_name[name]
                )
                return traffic, known_at

        self.check_late_requests(*anyio.run(run))

    def check_late_requests(self, traffic: DeadlyTraffic, known_at: float) -> None:
        """Check what became of the requests that were sent once the part was known."""
        world = traffic.gateways.world
        self.assertLessEqual(world.runs_with_part("bad", known_at), MAX_LATE_RUNS)
        for each in traffic.deadly.results:
            if each.sent_at > known_at and not traffic.deadly.runs_of(each):
                self.assertEqual(each.status, 503)
                self.assertTrue(each.retry_after)
        late = [each for each in traffic.sound.results if each.sent_at > known_at]
        served = [each for each in late if each.status == 200]
        self.assertGreaterEqual(2 * len(served), len(late))
        self.assertTrue(late)
