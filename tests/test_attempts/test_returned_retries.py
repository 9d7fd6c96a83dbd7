"""Tests of retries that are given back to a budget."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.attempts.budget import WindowBudget
from agatehoist.core.clock import ManualClock

WINDOW_S = 10.0


class ReturnedRetryTests(unittest.TestCase):
    # How long a retry was held before it was given back.
    @parameterized.expand([("soon", 1.0), ("after_its_window", 10.5)])
    def test_returned_retry_does_not_hide_one_that_was_used(
        self, _name: str, held_s: float
    ) -> None:
        clock = ManualClock(100.0)
        budget = WindowBudget(clock, 0.0, 2.0, WINDOW_S, 0.0)
        taken_at = clock.now()
        self.assertTrue(budget.try_spend())
        clock.advance_to(taken_at + held_s)
        self.assertTrue(budget.try_spend())
        budget.give_back(taken_at)
        # One was used just now, so one of two is left.
        self.assertTrue(budget.try_spend())
        self.assertFalse(budget.try_spend())
