"""Tests of the call budget, backoff and shared reads."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.storage.backoff import Backoff
from agatehoist.storage.budget import Allowance, CallBudget, Purpose
from agatehoist.storage.single_flight import SingleFlight

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class BudgetTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("burst_then_spaced", [0, 0, 0, 0, 0], [0, 0, 0, 0.5, 1.0]),
            ("refills", [0, 0, 0, 10, 10], [0, 0, 0, 10, 10]),
            ("steady", [0, 0.5, 1.0, 1.5], [0, 0.5, 1.0, 1.5]),
        ]
    )
    def test_send_times(self, _name: str, called_at: list, expected: list) -> None:
        budget = CallBudget({Purpose.OTHER: Allowance(2.0, 3)})
        sent_at = [budget.reserve(Purpose.OTHER, now) for now in called_at]
        self.assertEqual(sent_at, expected)

    def test_purposes_have_separate_budgets(self) -> None:
        budget = CallBudget()
        for _ in range(100):
            budget.reserve(Purpose.HOSTS, 0.0)
        self.assertEqual(budget.reserve(Purpose.CLAIMS, 0.0), 0.0)


class BackoffTests(unittest.TestCase):
    def test_grows_to_a_limit_and_resets(self) -> None:
        backoff = Backoff(random.Random(1), 1.0, 4.0)
        for base_delay_s in (1, 2, 4, 4):
            self.assertTrue(base_delay_s / 2 <= backoff.retry_at(0.0) <= base_delay_s)
        backoff.reset()
        self.assertLessEqual(backoff.retry_at(0.0), 1)

    def test_jitter_spreads_retries(self) -> None:
        times = [Backoff(random.Random(seed)).retry_at(0.0) for seed in range(100)]
        self.assertEqual(len({round(time, 4) for time in times}) > 90, True)


class SingleFlightTests(unittest.TestCase):
    def test_concurrent_callers_share_one_read(self) -> None:
        self.assertEqual(run_together(5, slow_read), ([1] * 5, 1))

    def test_error_is_shared(self) -> None:
        async def fail() -> None:
            await anyio.sleep(0.01)
            raise ValueError

        self.assertEqual(run_together(3, fail), (["error"] * 3, 1))

    def test_follower_takes_over_from_a_cancelled_leader(self) -> None:
        async def scenario() -> list[int]:
            shared_reads = SingleFlight()
            results: list[int] = []

            async def call(timeout: float) -> None:
                with anyio.move_on_after(timeout):
                    results.append(await shared_reads.run("key", slow_read))

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(call, 0.001)
                task_group.start_soon(call, 10)
            return results

        self.assertEqual(anyio.run(scenario), [1])


async def slow_read() -> int:
    """Return after a short delay."""
    await anyio.sleep(0.01)
    return 1


def run_together(
    count: int, read: Callable[[], Awaitable[object]]
) -> tuple[list[object], int]:
    """Return the results of concurrent callers and the number of reads."""
    results: list[object] = []
    reads: list[None] = []

    async def counted() -> object:
        reads.append(None)
        return await read()

    async def call(shared_reads: SingleFlight) -> None:
        try:
            results.append(await shared_reads.run("key", counted))
        except ValueError:
            results.append("error")

    async def scenario() -> None:
        shared_reads = SingleFlight()
        async with anyio.create_task_group() as task_group:
            for _ in range(count):
                task_group.start_soon(call, shared_reads)

    anyio.run(scenario)
    return results, len(reads)
