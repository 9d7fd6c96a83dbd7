"""Tests of the retry budget, the backoff, suspected hosts and cancellation."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from agatehoist.attempts.budget import BACKOFF_CAP_S, RetryBudget, next_retry_at
from agatehoist.attempts.cancellation import Prefill, cancellation_time
from agatehoist.attempts.suspicion import SuspicionTable
from agatehoist.placement.types import Candidate

A, B = Candidate("a", "dc1"), Candidate("b", "dc1")

CANCELS = [
    ("no_prefill", None, 5.0, 5.0),
    ("nearly_done", Prefill(0.0, 2.0), 1.7, 2.0),
    ("half_done", Prefill(0.0, 2.0), 1.0, 1.0),
    ("long_rest", Prefill(0.0, 40.0), 38.0, 38.0),
    ("overdue", Prefill(0.0, 2.0), 3.0, 3.0),
]


class BudgetAndSuspicionTests(unittest.TestCase):
    def test_retries_stay_in_ratio_to_the_requests(self) -> None:
        budget = RetryBudget(retries_per_request=0.2, max_saved_retries=20)
        spent = 0
        for _ in range(10_000):
            budget.note_request()
            # In a full outage each request would be retried five times.
            spent += sum(budget.try_spend() for _ in range(5))
        self.assertLessEqual(spent, 2_020)
        self.assertGreater(spent, 1_900)

    def test_backoff_is_jittered_and_bounded(self) -> None:
        rng = random.Random(1)
        for try_count in (0, 3, 100):
            times = {next_retry_at(10.0, try_count, rng) for _ in range(50)}
            self.assertEqual(len(times), 50)
            self.assertTrue(all(10 <= each <= 10 + BACKOFF_CAP_S for each in times))

    def test_suspected_host_is_probed_by_one_request_at_a_time(self) -> None:
        suspects = SuspicionTable()
        suspects.note_failure("a", 0.0)
        suspects.note_failure("a", 0.1)
        self.assertEqual(suspects.candidates_to_try((A, B), 0.9), (B,))
        self.assertEqual(suspects.candidates_to_try((A, B), 1.0), (A, B))
        suspects.begin_probe("a", 1.0)
        self.assertEqual(suspects.candidates_to_try((A, B), 1.1), (B,))
        suspects.note_failure("a", 1.2)
        self.assertEqual(suspects.candidates_to_try((A, B), 3.1), (B,))
        suspects.note_answer("a")
        self.assertEqual(suspects.candidates_to_try((A, B), 3.1), (A, B))

    def test_suspected_host_is_probed_if_it_is_the_only_candidate(self) -> None:
        suspects = SuspicionTable()
        suspects.note_failure("a", 0.0)
        self.assertEqual(suspects.candidates_to_try((A,), 0.5), (A,))

    @parameterized.expand(CANCELS)
    def test_cancelled_prefill_runs_on_only_if_nearly_done(
        self, _name: str, prefill: Prefill | None, now: float, expected: float
    ) -> None:
        self.assertEqual(cancellation_time(prefill, now), expected)
