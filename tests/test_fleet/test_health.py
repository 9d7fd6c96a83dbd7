"""Tests of the detection of endpoints that fail part of their work."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.fleet.health import HALF_LIFE_S, Health


class HealthTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("nothing_known", [], False),
            ("one_failure", [True], False),
            ("two_failures", [True, True], True),
            ("two_in_five", [True, False, True, False, False], True),
            ("one_in_seven", [False, False, False, True, False, False, False], False),
        ]
    )
    def test_endpoint_above_the_failure_share_is_unhealthy(
        self, _name: str, outcomes: list[bool], unhealthy: bool
    ) -> None:
        health = Health()
        for failed in outcomes:
            health.record_outcome("e@1", failed, 10.0)
        self.assertEqual(health.is_unhealthy("e@1", 10.0), unhealthy)

    def test_failures_are_forgotten_over_time(self) -> None:
        health = Health()
        for _ in range(4):
            health.record_outcome("e@1", True, 10.0)
        self.assertTrue(health.is_unhealthy("e@1", 10.0 + HALF_LIFE_S / 2))
        self.assertFalse(health.is_unhealthy("e@1", 10.0 + 2 * HALF_LIFE_S))
