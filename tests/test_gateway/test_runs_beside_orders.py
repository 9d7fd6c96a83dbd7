"""Tests of runs that begin just before an order is sent."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized

from standins.users_platform.harness import GatewayHarness, running_gateway, until
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_weights import set_target_weights

if TYPE_CHECKING:
    from agatehoist.http1.types import Reply

# The runs of a report are as of so long ago.
REPORT_AGE_S = 0.4
EVENT_COUNT = 300


class BegunSinceTheReportTests(unittest.TestCase):
    # How long after the first report of a drain the run-once stream is sent. An order
    # that cuts resumable runs follows after 1.2 s.
    @parameterized.expand([("reported", 0.3), ("begun_since_the_report", 1.05)])
    def test_order_that_cuts_resumable_runs_cuts_no_other(
        self, _name: str, sent_after_s: float
    ) -> None:
        world = GatewayHarness(engine_count=1)
        changed = slow_configuration()
        changed["Services"][0]["Engine"]["Moves"] = False
        world.store.put("config", "main", changed)
        (engine,) = world.engines
        engine.event_count = EVENT_COUNT
        first_report_at: list[float] = []
        began_at: dict[str, float] = {}

        def described_runs() -> list[list[Any]]:
            now = time.monotonic()
            first_report_at.append(now)
            for name in engine._priority_by_run:
                began_at.setdefault(name, now)
            for each in engine.runs:
                began_at[each.request_id] = each.received_at
            return [
                [name, 0, 0, each]
                for name, each in engine._priority_by_run.items()
                if began_at[name] < now - REPORT_AGE_S
            ]

        engine._described_runs = described_runs  # type: ignore[method-assign]
        replies: list[Reply] = []

        async def ask_resumable() -> None:
            await world.ask_prompt("/trace/1", x_agatehoist_request_id="t1")

        async def run() -> None:
            async with (
                running_gateway(world, rolls_out_weights=True),
                anyio.create_task_group() as task_group,
            ):
                task_group.start_soon(ask_resumable)
                await anyio.sleep(2 * REPORT_AGE_S)
                set_target_weights(world, 2)
                await until(lambda: bool(first_report_at))
                await anyio.sleep(sent_after_s)
                replies.append(await world.ask_prompt("/credit/1"))
                task_group.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(replies[0].body.count(b"data:"), EVENT_COUNT)
