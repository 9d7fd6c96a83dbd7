"""Tests of answers of faulty endpoints that must not reach callers as their own."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from standins.users_platform.harness import (
    GatewayHarness,
    running_gateway,
    until,
)


class RepeatedRefusalTests(unittest.TestCase):
    # Whether the refusal that is sent once more has the id of its request, and how the
    # next request on the connection ends: with its own answer or an unknown outcome.
    @parameterized.expand([("named", {200}), ("unnamed", {200, 502, 504})])
    def test_earlier_refusal_is_not_taken_for_the_next_answer(
        self, naming: str, statuses: set[int]
    ) -> None:
        world = GatewayHarness()
        world.applications.pop()
        (endpoint,) = world.applications
        endpoint.repeats_refusals = naming
        endpoint.faults = ["shed", "", "shed", "", ""]

        async def run() -> list[int]:
            async with running_gateway(world):
                replies = []
                for number in range(5):
                    headers = {"x_agatehoist_request_id": f"r{number}"}
                    replies.append(await world.ask("/post/1", "POST", **headers))
                return [each.head.status for each in replies]

        results = anyio.run(run)
        run_ids = world.runs()
        self.assertEqual(len(run_ids), len(set(run_ids)))
        for number, status in enumerate(results):
            if f"r{number}" in run_ids:
                self.assertIn(status, statuses)
            else:
                self.assertEqual(status, 503)

    @parameterized.expand([("named",), ("unnamed",)])
    def test_earlier_refusal_does_not_run_a_request_twice(self, naming: str) -> None:
        world = GatewayHarness()
        for each in world.applications:
            each.repeats_refusals = naming
            each.faults = ["shed", "", "shed", "", ""]

        async def run() -> None:
            async with running_gateway(world):
                for number in range(8):
                    headers = {"x_agatehoist_request_id": f"r{number}"}
                    await world.ask("/post/1", "POST", **headers)

        anyio.run(run)
        run_ids = world.runs()
        self.assertEqual(len(run_ids), len(set(run_ids)))

    def test_earlier_refusal_does_not_end_a_run_that_moves_there(self) -> None:
        world = GatewayHarness(2)
        for each in world.engines:
            each.event_count = 60
            each.repeats_refusals = "named"
        faults = ["shed"]
        for each in world.engines:
            each.faults = faults

        async def run() -> bytes:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                bodies = []

                async def ask() -> None:
                    bodies.append((await world.ask_prompt("/credit/1")).body)

                task_group.start_soon(ask)
                await until(lambda: any(each.active for each in world.engines))
                await anyio.sleep(0.1)
                (source,) = (each for each in world.engines if each.active)
                world.list_endpoint(source, State="draining")
                await until(lambda: bool(bodies))
                return bodies[0]

        body = anyio.run(run)
        self.assertTrue(body.endswith(b"data: t60\n\n"))
        self.assertEqual(len([r for e in world.engines for r in e.continued_runs]), 1)
