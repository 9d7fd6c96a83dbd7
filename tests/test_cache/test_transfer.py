"""Tests of the decision to import cached blocks."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.cache.transfer import Holder, TransferRates, plan_import

FAST = TransferRates(0.01, 100_000.0, 20_000.0)
SLOW = TransferRates(0.01, 19_000.0, 20_000.0)
OWN = Holder("own", "1", 1000)
LITTLE = Holder("little", "1", 1400)
MUCH = Holder("much", "1", 21_000)
OLD = Holder("old", "0", 40_000)

# Case, own cache, other holders, rates and the source that is chosen, if any.
PLAN_CASES = [
    ("nobody", OWN, [], FAST, None),
    ("import_beats_computing", OWN, [MUCH], FAST, "much"),
    ("most_saved_time", OWN, [LITTLE, MUCH], FAST, "much"),
    ("too_little_to_gain", OWN, [LITTLE], FAST, None),
    ("computing_beats_import", OWN, [MUCH], SLOW, None),
    ("other_weights", OWN, [OLD], FAST, None),
    ("other_weights_passed_over", OWN, [OLD, MUCH], FAST, "much"),
    ("own_holds_more", MUCH, [OWN], FAST, None),
]


class PlanImportTests(unittest.TestCase):
    @parameterized.expand(PLAN_CASES)
    def test_source_of_the_import(
        self,
        _name: str,
        own: Holder,
        holders: list[Holder],
        rates: TransferRates,
        source: str | None,
    ) -> None:
        plan = plan_import(own, holders, rates)
        self.assertEqual(plan and plan.source, source)
        if plan is not None:
            self.assertEqual((plan.first_token, plan.last_token), (1000, 21_000))
            self.assertAlmostEqual(plan.duration_s, 0.21)
