"""Tests of budget, backoff and the sharing of reads."""

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
    def test_times(self, _name: str, asked: list, expected: list) -> None:
        budget = CallBudget({Purpose.OTHER: Allowance(2.0, 3)})
        found = [budget.take(Purpose.OTHER, now) for now in asked]
        self.assertEqual(found, expected)

    def test_purposes_are_apart(self) -> None:
        budget = CallBudget()
        for _ in range(100):
            budget.take(Purpose.HOSTS, 0.0)
        self.assertEqual(budget.take(Purpose.CLAIMS, 0.0), 0.0)


class BackoffTests(unittest.TestCase):
    def test_grows_to_a_limit_and_resets(self) -> None:
        backoff = Backoff(random.Random(1), 1.0, 4.0)
        for longest in (1, 2, 4, 4):
            self.assertTrue(longest / 2 <= backoff.retry_at(0.0) <= longest)
        backoff.reset()
        self.assertLessEqual(backoff.retry_at(0.0), 1)

    def test_a_herd_spreads(self) -> None:
        times = [Backoff(random.Random(seed)).retry_at(0.0) for seed in range(100)]
        self.assertEqual(len({round(time, 4) for time in times}) > 90, True)


class SingleFlightTests(unittest.TestCase):
    def test_one_read_for_many(self) -> None:
        self.assertEqual(run_together(5, slow_read), ([1] * 5, 1))

    def test_error_is_shared(self) -> None:
        async def fail() -> None:
            await anyio.sleep(0.01)
            raise ValueError

        self.assertEqual(run_together(3, fail), (["error"] * 3, 1))

    def test_follower_takes_over_from_a_cancelled_leader(self) -> None:
        async def scenario() -> list[int]:
            flights = SingleFlight()
            answers: list[int] = []

            async def ask(timeout: float) -> None:
                with anyio.move_on_after(timeout):
                    answers.append(await flights.run("key", slow_read))

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(ask, 0.001)
                task_group.start_soon(ask, 10)
            return answers

        self.assertEqual(anyio.run(scenario), [1])


async def slow_read() -> int:
    """Answer after a short wait."""
    await anyio.sleep(0.01)
    return 1


def run_together(
    count: int, read: Callable[[], Awaitable[object]]
) -> tuple[list[object], int]:
    """Return the answers of callers at one time and the number of reads."""
    answers: list[object] = []
    reads: list[None] = []

    async def counted() -> object:
        reads.append(None)
        return await read()

    async def ask(flights: SingleFlight) -> None:
        try:
            answers.append(await flights.run("key", counted))
        except ValueError:
            answers.append("error")

    async def scenario() -> None:
        flights = SingleFlight()
        async with anyio.create_task_group() as task_group:
            for _ in range(count):
                task_group.start_soon(ask, flights)

    anyio.run(scenario)
    return answers, len(reads)
