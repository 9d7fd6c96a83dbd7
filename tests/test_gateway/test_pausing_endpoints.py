"""Tests of endpoints that turn a request away and ask for time."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.fleet.statements import Statement
from agatehoist.protocol.node_reports import endpoint_key
from standins.users_platform.harness import GatewayHarness, running_gateway, until

if TYPE_CHECKING:
    from agatehoist.http1.types import Reply

PAUSE_S = 1.0
AT_ONCE_S = 0.2
EVENT_COUNT = 100
# The rest of the routes' time out; callers follow a time of at most a third of it.
USABLE_S = 1.5 / 3


class PauseTests(unittest.TestCase):
    @parameterized.expand(
        [("repeatable", "/look/1", "GET"), ("once", "/post/1", "POST")]
    )
    def test_endpoint_gets_nothing_until_its_pause_ends(
        self, _name: str, path: str, method: str
    ) -> None:
        world = GatewayHarness()
        pausing = world.applications[0]
        pausing.faults = ["shed"] * 1000
        pausing.pause_s = PAUSE_S

        async def run() -> list[int]:
            async with running_gateway(world):
                statuses = []
                began_at = time.monotonic()
                while time.monotonic() < began_at + 2.5 * PAUSE_S:
                    statuses.append((await world.ask(path, method)).head.status)
                    await anyio.sleep(0.01)
                return statuses

        self.assertEqual(set(anyio.run(run)), {200})
        arrivals = pausing.arrivals
        self.assertIn(len(arrivals), (2, 3))
        gaps = [after - at for at, after in zip(arrivals, arrivals[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), PAUSE_S)

    def test_callers_are_refused_at_once_while_all_endpoints_want_time(self) -> None:
        world = GatewayHarness()
        for each in world.applications:
            each.faults = ["shed"]
            each.pause_s = PAUSE_S
        refused: list[tuple[Reply, float]] = []

        async def run() -> int:
            async with running_gateway(world):
                await world.ask("/post/1", "POST")
                for _ in range(5):
                    began_at = time.monotonic()
                    reply = await world.ask("/post/1", "POST")
                    refused.append((reply, time.monotonic() - began_at))
                await anyio.sleep(PAUSE_S)
                return (await world.ask("/post/1", "POST")).head.status

        self.assertEqual(anyio.run(run), 200)
        for reply, took_s in refused:
            self.assertEqual(reply.head.status, 503)
            self.assertLess(took_s, AT_ONCE_S)
            retry_after_s = float(reply.head.value(b"retry-after") or b"nan")
            self.assertLessEqual(retry_after_s, USABLE_S)
        self.assertEqual(len(world.runs()), 1)

    def test_runs_do_not_move_to_an_endpoint_that_wants_time(self) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = EVENT_COUNT

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                # The other engine has more runs than the one that wants time.
                for number in range(4):
                    headers = {"x_agatehoist_request_id": f"r{number}"}
                    task_group.start_soon(ask_trace, world, headers)
                await until(lambda: sum(each.active for each in world.engines) == 4)
                (busy, *idle) = sorted(world.engines, key=lambda each: -each.active)
                idle[0].faults = ["shed"] * 1000
                idle[0].pause_s = 3 * PAUSE_S
                pause(world, idle[0].name)
                world.list_endpoint(busy, State="draining")
                await until(lambda: bool(idle[1].continued_runs))
                self.assertEqual(idle[0].continued_runs, [])

        anyio.run(run)


async def ask_trace(world: GatewayHarness, headers: dict[str, str]) -> None:
    """Send a request for a stream that may be resumed."""
    await world.ask_prompt("/trace/1", **headers)


def pause(world: GatewayHarness, name: str) -> None:
    """Let the gateway know that an endpoint wants time."""
    now = world.state.clock.now()
    key = endpoint_key(world.state.fleet.by_name[name].lifetime)
    statement = Statement(paused_until=now + 3 * PAUSE_S)
    world.state.statements.note(key, statement, now, now)
