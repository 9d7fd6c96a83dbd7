"""Tests of the retry budget of a sliding window."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from agatehoist.attempts.budget import SLACK_SHARE_AT_START, WindowBudget
from agatehoist.core.clock import ManualClock

RATIO, SLACK, WINDOW_S = 0.2, 5.0, 10.0


class WindowBudgetTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(10)])
    def test_no_window_has_more_retries_than_allowed(self, seed: int) -> None:
        rng = random.Random(seed)
        clock = ManualClock(100.0)
        budget = WindowBudget(clock, RATIO, SLACK, WINDOW_S, 0.0)
        requests: list[float] = []
        retries: list[float] = []
        for _ in range(3000):
            clock.advance_to(clock.now() + rng.expovariate(rng.choice([1, 20, 100])))
            if rng.random() < 0.6:
                budget.note_request()
                requests.append(clock.now())
            elif budget.try_spend():
                retries.append(clock.now())
                since = clock.now() - WINDOW_S
                allowed = RATIO * sum(at >= since for at in requests) + SLACK
                self.assertLessEqual(sum(at >= since for at in retries), allowed)
        self.assertTrue(retries)

    def test_retries_that_are_given_back_leave_no_window_with_too_many(self) -> None:
        rng = random.Random(7)
        clock = ManualClock(100.0)
        budget = WindowBudget(clock, RATIO, SLACK, WINDOW_S, 0.0)
        requests: list[float] = []
        retries: list[float] = []
        unused: list[float] = []
        for _ in range(3000):
            clock.advance_to(clock.now() + rng.expovariate(rng.choice([1, 20, 100])))
            now, kind = clock.now(), rng.random()
            if kind < 0.5:
                budget.note_request()
                requests.append(now)
            elif unused and (kind < 0.6 or now > unused[0] + WINDOW_S / 2):
                budget.give_back()
                unused.pop()
            elif budget.try_spend():
                (unused if kind < 0.75 else retries).append(now)
                since = now - WINDOW_S
                allowed = RATIO * sum(at >= since for at in requests) + SLACK
                self.assertLessEqual(sum(at >= since for at in retries), allowed)
        self.assertGreater(len(retries), SLACK)

    def test_unspent_share_is_left(self) -> None:
        budget = WindowBudget(ManualClock(100.0), RATIO, SLACK, WINDOW_S, 0.0)
        spent = [budget.try_spend(unspent_share=0.4) for _ in range(5)]
        self.assertEqual(sum(spent), 3)
        self.assertTrue(budget.try_spend())

    def test_whole_slack_is_available_one_window_after_the_start(self) -> None:
        clock = ManualClock(100.0)
        budget = WindowBudget(clock, RATIO, SLACK, WINDOW_S, 100.0 + WINDOW_S)
        at_start = sum(budget.try_spend() for _ in range(10))
        self.assertEqual(at_start, int(SLACK * SLACK_SHARE_AT_START))
        clock.advance_to(100.0 + WINDOW_S)
        total = at_start + sum(budget.try_spend() for _ in range(10))
        self.assertEqual(total, int(SLACK))
