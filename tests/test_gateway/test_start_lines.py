"""Tests of requests that arrive while the engines have no room for them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio
from parameterized import parameterized

from agatehoist.admission.line import Line
from agatehoist.gateway import start_lines
from standins.users_platform.harness import (
    ENGINES,
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)

if TYPE_CHECKING:
    from agatehoist.fleet.load import TrackedRequest
    from agatehoist.http1.types import Reply

# Prompt tokens ahead of a request, which take many seconds.
BACKLOG_TOKENS = 400_000
OBJECTIVE_MS = 2000
REFUSED_WITHIN_S = 0.5
# Later than a sound engine would send data again.
CALLER_LEAVES_S = 1.8


class RoomTests(unittest.TestCase):
    # Case, the engines with a backlog, and the status.
    @parameterized.expand(
        [("idle", 0, 200), ("one_has_room", 2, 200), ("none_has_room", 3, 503)]
    )
    def test_request_is_sent_only_where_it_can_start_in_time(
        self, _name: str, busy: int, status: int
    ) -> None:
        reply, runs, took_s = anyio.run(self._ask, busy, False)
        self.assertEqual(reply.head.status, status)
        self.assertEqual(runs, 1 if status == 200 else 0)
        if status == 503:
            self.assertLess(took_s, REFUSED_WITHIN_S)
            self.assertIsNotNone(reply.head.value(b"retry-after"))

    def test_waiting_request_starts_when_an_engine_has_room(self) -> None:
        reply, runs, _ = anyio.run(self._ask, 3, True)
        self.assertEqual((reply.head.status, runs), (200, 1))

    # The first call is made before the request joins the line.
    @parameterized.expand(
        [("room", start_lines, "has_room", 200), ("order", Line, "first", 503)]
    )
    def test_exception_in_the_line_does_not_end_the_process(
        self, _name: str, owner: object, function: str, status: int
    ) -> None:
        results = [False] if function == "has_room" else []
        failures = [RuntimeError("unexpected")] * 100
        with patch.object(owner, function, side_effect=[*results, *failures]):
            reply, _, _ = anyio.run(self._ask, 3, False)
        self.assertEqual(reply.head.status, status)

    async def _ask(self, busy: int, ends: bool) -> tuple[Reply, int, float]:
        """Return the reply, the number of runs and the time until the reply."""
        world = GatewayHarness()
        routes = configuration()["Routes"]
        routes = [{**each, "TargetLatencyMs": OBJECTIVE_MS} for each in routes]
        world.store.put("config", "main", configuration(Routes=routes))
        async with running_gateway(world):
            tracked = self._make_busy(world, busy)
            replies: list[Reply] = []

            async def ask() -> None:
                replies.append(await world.ask_prompt("/trace/1"))

            began_at = anyio.current_time()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(ask)
                if ends:
                    await anyio.sleep(0.05)
                    tracked[0].end()
            return replies[0], len(world.runs()), anyio.current_time() - began_at

    def _make_busy(self, world: GatewayHarness, count: int) -> list[TrackedRequest]:
        endpoints = world.state.fleet.serving(ENGINES, 0.0)
        return [
            # A short prompt waits for other short ones only.
            world.state.load.track(each.lifetime, BACKLOG_TOKENS, is_short=True)
            for each in endpoints[:count]
        ]


class SilenceTests(unittest.TestCase):
    # Case, when the caller leaves, whether the engines answer others meanwhile, and
    # whether one is suspected then.
    @parameterized.expand(
        [
            ("busy", CALLER_LEAVES_S, True, False),
            ("dead", CALLER_LEAVES_S, False, True),
            ("silent_for_a_second", 1.0, False, False),
        ]
    )
    def test_only_dead_engine_is_suspected_when_a_caller_leaves(
        self, _name: str, leaves_after_s: float, answers: bool, suspected: bool
    ) -> None:
        world = GatewayHarness()
        routes = [{**each, "TimeoutMs": 6000} for each in configuration()["Routes"]]
        world.store.put("config", "main", configuration(Routes=routes))
        for each in world.engines:
            each.faults = ["mute"]

        async def run() -> bool:
            async with running_gateway(world):
                state = world.state
                endpoints = state.fleet.serving(ENGINES, 0.0)
                with anyio.move_on_after(leaves_after_s):
                    async with anyio.create_task_group() as task_group:
                        task_group.start_soon(world.ask_prompt, "/credit/1")
                        while True:
                            await anyio.sleep(0.02)
                            for each in endpoints if answers else ():
                                state.record_contact(each)
                await until(lambda: not state.in_flight.count)
                now = state.clock.now()
                return any(state.suspects.is_suspected(e.name, now) for e in endpoints)

        self.assertEqual(anyio.run(run), suspected)
