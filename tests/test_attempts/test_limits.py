"""Tests of the limits on retries and of the cost rule of a cancel."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from agatehoist.attempts.budget import BACKOFF_CAP_S, RetryBudget, backoff_until
from agatehoist.attempts.cancelling import Prefill, cancel_at
from agatehoist.attempts.suspicion import Suspects
from agatehoist.placement.types import Candidate

A, B = Candidate("a", "dc1"), Candidate("b", "dc1")

CANCELS = [
    ("no_prefill", None, 5.0, 5.0),
    ("nearly_done", Prefill(0.0, 2.0), 1.7, 2.0),
    ("half_done", Prefill(0.0, 2.0), 1.0, 1.0),
    ("long_rest", Prefill(0.0, 40.0), 38.0, 38.0),
    ("overdue", Prefill(0.0, 2.0), 3.0, 3.0),
]


class LimitTests(unittest.TestCase):
    def test_retries_stay_a_share_of_the_traffic(self) -> None:
        budget = RetryBudget(share=0.2, reserve=20)
        spent = 0
        for _ in range(10_000):
            budget.note_request()
            # A full outage: each request would be tried five times more.
            spent += sum(budget.try_spend() for _ in range(5))
        self.assertLessEqual(spent, 2_020)
        self.assertGreater(spent, 1_900)

    def test_backoff_is_jittered_and_bounded(self) -> None:
        rng = random.Random(1)
        for failures in (0, 3, 100):
            times = {backoff_until(10.0, failures, rng) for _ in range(50)}
            self.assertEqual(len(times), 50)
            self.assertTrue(all(10 <= each <= 10 + BACKOFF_CAP_S for each in times))

    def test_a_silent_host_comes_back_by_one_trial(self) -> None:
        suspects = Suspects()
        suspects.note_silence("a", 0.0)
        suspects.note_silence("a", 0.1)
        self.assertEqual(suspects.trusted((A, B), 0.9), (B,))
        self.assertEqual(suspects.trusted((A, B), 1.0), (A, B))
        suspects.begin_probe("a", 1.0)
        self.assertEqual(suspects.trusted((A, B), 1.1), (B,))
        suspects.note_silence("a", 1.2)
        self.assertEqual(suspects.trusted((A, B), 3.1), (B,))
        suspects.note_answer("a")
        self.assertEqual(suspects.trusted((A, B), 3.1), (A, B))

    def test_a_lonely_suspect_is_still_tried(self) -> None:
        suspects = Suspects()
        suspects.note_silence("a", 0.0)
        self.assertEqual(suspects.trusted((A,), 0.5), (A,))

    @parameterized.expand(CANCELS)
    def test_cancel_during_a_prefill(
        self, _name: str, prefill: Prefill | None, now: float, expected: float
    ) -> None:
        self.assertEqual(cancel_at(prefill, now), expected)
