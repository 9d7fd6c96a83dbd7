"""Tests of runs that move to another endpoint."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from standins.users_platform.world import World, running, until

EVENT_COUNT = 60


class MovingTests(unittest.TestCase):
    @parameterized.expand([("/credit/1",), ("/trace/1",)])
    def test_a_run_leaves_an_endpoint_that_drains(self, path: str) -> None:
        world = World()
        for each in world.engines:
            each.event_count = EVENT_COUNT
        bodies: list[bytes] = []

        async def ask() -> None:
            bodies.append((await world.ask_prompt(path)).body)

        async def run() -> None:
            async with running(world), anyio.create_task_group() as task_group:
                task_group.start_soon(ask)
                await until(lambda: any(each.active for each in world.engines))
                (source,) = (each for each in world.engines if each.active)
                await anyio.sleep(0.1)
                entry = world.store.spec("servers", source.name)
                world.store.put("servers", source.name, {**entry, "State": "draining"})
                await until(lambda: bool(bodies))
                self.assertEqual(source.stopped, {"r1"})

        anyio.run(run)
        expected = "".join(
            f"id: {n}\ndata: t{n}\n\n" for n in range(1, EVENT_COUNT + 1)
        )
        self.assertEqual(bodies, [expected.encode()])
        self.assertEqual(world.runs(), ["r1"])
