"""Tests of prompt parts that crash the engines: refused once known, others served."""

from __future__ import annotations

import itertools
import time
import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from standins.users_platform.prompts import MAX_LATE_RUNS, STABLE_S, PromptCaller

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.users_platform.prompts import PromptResult

ENGINE_COUNT = 12
DOWN_S = 0.3
INTERVAL_S = 0.1
# On a busy machine dozens of streams in this process take over a second.
TIMEOUT_MS = 15_000
# The crashes after which a part must be known.
CRASHES = 5
# Deadly requests that are refused in a row once the part is known.
REFUSED_IN_A_ROW = 5
LATE_REQUESTS = 12
WAVE_COUNT = 3
REQUESTS_PER_WAVE = 4
SOUND_STREAMS = 8
PREFIX = ("choir", "verse")


def make_world(engine_count: int = ENGINE_COUNT) -> GatewayHarness:
    """Return a harness with enough engines to lose a few of them all the time."""
    world = GatewayHarness(engine_count)
    routes = [{**each, "TimeoutMs": TIMEOUT_MS} for each in configuration()["Routes"]]
    world.store.put("config", "main", configuration(Routes=routes))
    for each in world.engines:
        each.down_s = DOWN_S
    return world


def all_up(world: GatewayHarness) -> bool:
    """Return whether no engine is down."""
    return not any(each.crashed.is_set() for each in world.engines)


async def crash_engines(
    world: GatewayHarness, caller: PromptCaller, pause_s: float
) -> None:
    """Crash all engines while they run requests, and wait until they are back."""
    async with anyio.create_task_group() as task_group:
        for _ in range(2 * ENGINE_COUNT):
            task_group.start_soon(caller.ask, PREFIX)
        await until(lambda: sum(e.active for e in world.engines) > ENGINE_COUNT)
        for each in world.engines:
            each.crash()
            await anyio.sleep(pause_s)
    for each in world.engines:
        each.faults.clear()
    await until(lambda: all_up(world))


class DeadlyTraffic:
    """Send deadly requests on prompts in turn, with sound ones beside them."""

    def __init__(self, world: GatewayHarness, path: str) -> None:
        self.world = world
        self.deadly = PromptCaller(world, path)
        self.sound = PromptCaller(world, path)

    async def run_sound(self, prompts: Sequence[tuple[str, ...]]) -> None:
        """Send sound requests until cancelled, without waiting for their answers."""
        async with anyio.create_task_group() as task_group:
            for prompt in itertools.cycle(prompts):
                task_group.start_soon(self.sound.ask, prompt)
                await anyio.sleep(INTERVAL_S / 2)

    async def crash_until_known(self, prompts: Sequence[tuple[str, ...]]) -> float:
        """Send deadly requests and return when their parts must be known.

        That is once several requests on each prompt were refused, or StableMs after the
        fifth crash by each part.
        """
        while time.monotonic() < (known_at := self._known_by()):
            for prompt in prompts:
                await self.deadly.ask(prompt)
                await anyio.sleep(INTERVAL_S)
            if self._all_refused(len(prompts) * REFUSED_IN_A_ROW):
                return time.monotonic()
        return known_at

    async def send_late(self, prompts: Sequence[tuple[str, ...]], count: int) -> None:
        """Send so many deadly requests on each prompt."""
        for prompt in prompts * count:
            await self.deadly.ask(prompt)
            await anyio.sleep(INTERVAL_S)

    def _known_by(self) -> float:
        crashed_at = sorted(c.at for each in self.world.engines for c in each.crashes)
        needed = CRASHES * len(self.world.deadly_parts)
        if len(crashed_at) < needed:
            return time.monotonic() + STABLE_S
        return crashed_at[needed - 1] + STABLE_S

    def _all_refused(self, count: int) -> bool:
        latest = self.deadly.results[-count:]
        return len(latest) == count and all(
            each.status == 503 and not self.deadly.runs_of(each) for each in latest
        )


class KnownPartTests(unittest.TestCase):
    # Shared parts of the deadly requests, which have a last part of their own too.
    @parameterized.expand(
        [
            ("first", "/credit/1", [("bad", "verse")], ["bad"]),
            ("middle", "/credit/1", [("choir", "bad", "verse")], ["bad"]),
            ("last_shared", "/trace/1", [("choir", "bad")], ["bad"]),
            (
                "among_other_parts",
                "/credit/1",
                [("choir", "bad"), ("bad", "verse"), ("tune", "bad", "verse")],
                ["bad"],
            ),
            (
                "two_parts",
                "/credit/1",
                [("choir", "bad", "verse"), ("choir", "worse", "verse")],
                ["bad", "worse"],
            ),
        ]
    )
    def test_known_part_reaches_few_engines_and_others_are_served(
        self,
        _name: str,
        path: str,
        prompts: list[tuple[str, ...]],
        deadly_parts: list[str],
    ) -> None:
        """Sound requests share the key and all other parts with the deadly ones."""
        world = make_world()
        world.deadly_parts |= set(deadly_parts)
        traffic = DeadlyTraffic(world, path)
        sound = [
            tuple(part for part in each if part not in deadly_parts) for each in prompts
        ]

        async def run() -> float:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                task_group.start_soon(traffic.run_sound, sound)
                known_at = await traffic.crash_until_known(prompts)
                await traffic.send_late(prompts, LATE_REQUESTS // len(prompts))
                task_group.cancel_scope.cancel()
                return known_at

        known_at = anyio.run(run)
        self.assertTrue(any(each.crashes for each in world.engines))
        for part in deadly_parts:
            self.assertLessEqual(
                world.runs_with_part(part, known_at), MAX_LATE_RUNS, part
            )
        late = [each for each in traffic.sound.results if each.sent_at > known_at]
        served = [each for each in late if each.status == 200]
        self.assertGreaterEqual(2 * len(served), len(late))
        self.assertTrue(late)

    def test_known_part_stays_refused_at_once_and_truly(self) -> None:
        world = make_world()
        world.deadly_parts.add("bad")
        traffic = DeadlyTraffic(world, "/credit/1")
        prompts = [("choir", "bad")]

        async def run() -> float:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                task_group.start_soon(traffic.run_sound, [("choir",)])
                known_at = await traffic.crash_until_known(prompts)
                await traffic.send_late(prompts, 4 * LATE_REQUESTS)
                task_group.cancel_scope.cancel()
                return known_at

        known_at = anyio.run(run)
        self.assertLessEqual(world.runs_with_part("bad", known_at), MAX_LATE_RUNS)
        late = [each for each in traffic.deadly.results if each.sent_at > known_at]
        refused = [each for each in late if not traffic.deadly.runs_of(each)]
        self.assertGreaterEqual(len(refused), len(late) - MAX_LATE_RUNS)
        for each in refused:
            self.assertEqual(each.status, 503)
            self.assertGreater(float(each.retry_after), 0)
            self.assertLess(each.took_s, 1.0)


class WitnessTests(unittest.TestCase):
    # Whether the popular part is in the deadly requests too.
    @parameterized.expand(
        [("beside", ("bad", "verse")), ("within", ("choir", "bad", "verse"))]
    )
    def test_popular_part_on_each_crashed_engine_is_not_condemned(
        self, _name: str, deadly_prompt: tuple[str, ...]
    ) -> None:
        world = make_world()
        world.deadly_parts.add("bad")
        for each in world.engines:
            each.event_count = 40
        traffic = DeadlyTraffic(world, "/credit/1")
        popular = [("choir",), ("choir", "verse"), ("tune", "choir")]

        async def run() -> list[PromptResult]:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                task_group.start_soon(traffic.run_sound, popular)
                task_group.start_soon(traffic.run_sound, popular)
                await traffic.crash_until_known([deadly_prompt])
                await until(lambda: all_up(world))
                results = await traffic.sound.ask_all(popular * (LATE_REQUESTS // 2))
                task_group.cancel_scope.cancel()
                return results

        results = anyio.run(run)
        self.assertEqual([each.status for each in results], [200] * len(results))

    # Endpoints crash by themselves while requests stream, or wait for the first event
    # (`mute`).
    @parameterized.expand(
        [
            ("streaming", "/credit/1", [], 0),
            ("waiting", "/credit/1", ["mute"], 0),
            ("waiting_resumable", "/trace/1", ["mute"], 0),
            ("one_after_another", "/credit/1", ["mute"], INTERVAL_S / 4),
        ]
    )
    def test_crashes_without_deadly_part_condemn_nothing(
        self, _name: str, path: str, faults: list[str], pause_s: float
    ) -> None:
        world = make_world()
        caller = PromptCaller(world, path)
        for each in world.engines:
            each.event_count = 12

        async def run() -> list[PromptResult]:
            async with running_gateway(world):
                for _ in range(WAVE_COUNT):
                    for each in world.engines:
                        each.faults = faults * 2 * ENGINE_COUNT
                    await crash_engines(world, caller, pause_s)
                    await caller.wait_until_served(("other",))
                    await caller.ask_all([PREFIX] * REQUESTS_PER_WAVE)
                return await caller.ask_all([PREFIX] * LATE_REQUESTS)

        results = anyio.run(run)
        self.assertEqual([each.status for each in results], [200] * LATE_REQUESTS)

    @parameterized.expand([("reset",), ("cut",)])
    def test_cut_connections_condemn_nothing(self, fault: str) -> None:
        world = make_world()
        caller = PromptCaller(world, "/credit/1")
        # The shared list gives the fault to the next requests at any engine.
        shared = [fault] * LATE_REQUESTS
        for each in world.engines:
            each.faults = shared

        async def run() -> list[PromptResult]:
            async with running_gateway(world):
                while shared:
                    await caller.ask(PREFIX)
                await caller.wait_until_served(("other",))
                return await caller.ask_all([PREFIX] * LATE_REQUESTS)

        results = anyio.run(run)
        self.assertEqual([each.status for each in results], [200] * LATE_REQUESTS)

    def test_resumable_request_on_crashed_engine_is_completed_elsewhere(self) -> None:
        world = make_world(engine_count=2)
        world.deadly_parts.add("bad")
        for each in world.engines:
            each.event_count = 60
        sound = PromptCaller(world, "/trace/1")
        deadly = PromptCaller(world, "/credit/1")

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                for number in range(SOUND_STREAMS):
                    task_group.start_soon(sound.ask, (f"choir-{number}", "verse"))
                await until(lambda: all(each.active for each in world.engines))
                await deadly.ask(("choir", "bad"))

        anyio.run(run)
        # One engine crashed; the streams on it were completed by the other.
        self.assertEqual(sum(len(each.crashes) for each in world.engines), 1)
        event_counts = [each.body.count(b"data:") for each in sound.results]
        self.assertEqual(event_counts, [60] * SOUND_STREAMS)
        runs = sum(sound.runs_of(each) for each in sound.results)
        self.assertGreater(runs, SOUND_STREAMS)
