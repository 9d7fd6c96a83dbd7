"""Tests of tasks that fail, and of what comes too late."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

import anyio

from agatehoist.attempts.types import NotWritten
from agatehoist.core.identity import AttemptId
from agatehoist.gateway.attempting import Attempt
from agatehoist.gateway.tasks import guarded, restarted
from agatehoist.gateway.types import Dispatch
from standins.users_platform.world import World, running


class TaskTests(unittest.TestCase):
    def test_a_fault_ends_its_task_alone(self) -> None:
        async def fail() -> None:
            raise ValueError("fault")

        async def run() -> None:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(guarded, fail)
                await anyio.sleep(0.01)

        anyio.run(run)

    def test_a_part_runs_anew_after_a_fault(self) -> None:
        runs: list[int] = []

        async def fail_once() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise ValueError("fault")
            await anyio.sleep_forever()

        async def run() -> None:
            with anyio.move_on_after(1.0):
                await restarted(fail_once)

        anyio.run(run)
        self.assertEqual(len(runs), 2)

    def test_news_of_an_attempt_that_has_ended_are_dropped(self) -> None:
        world = World()

        async def run() -> None:
            async with running(world):
                state = world.state
                (endpoint, *_) = state.fleet.by_name.values()
                sender, receiver = anyio.create_memory_object_stream[NotWritten](1)
                attempt = Attempt(
                    state,
                    Mock(),
                    Dispatch(endpoint),
                    AttemptId("g", 1),
                    0,
                    sender,
                )
                sender.close()
                await attempt.report(NotWritten(AttemptId("g", 1), "late"))
                receiver.close()

        anyio.run(run)
