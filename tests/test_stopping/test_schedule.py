"""Tests of the times of a stop."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.stopping.schedule import stop_schedule

BEGAN_AT = 1000.0
# Requests whose endpoint works on in this part of the grace period may be cut.
LAST_PART = 5 / 6


class StopScheduleTests(unittest.TestCase):
    @parameterized.expand([(f"{grace_s}_s", grace_s) for grace_s in (1, 2, 4, 8, 30)])
    def test_requests_are_ended_neither_too_early_nor_after_the_grace(
        self, _name: str, grace_s: float
    ) -> None:
        schedule = stop_schedule(BEGAN_AT, grace_s)
        times = (
            BEGAN_AT,
            schedule.last_stream_at,
            schedule.closes_idle_at,
            BEGAN_AT + LAST_PART * grace_s,
            schedule.answers_at,
            schedule.stops_at,
            BEGAN_AT + grace_s,
        )
        self.assertEqual(tuple(sorted(set(times))), times)

    def test_a_long_grace_leaves_fixed_times_at_its_begin_and_end(self) -> None:
        schedule = stop_schedule(BEGAN_AT, 60.0)
        self.assertEqual(schedule.last_stream_at, BEGAN_AT + 2.5)
        self.assertEqual(schedule.closes_idle_at, BEGAN_AT + 3.0)
        self.assertAlmostEqual(schedule.answers_at, BEGAN_AT + 59.1)
        self.assertAlmostEqual(schedule.stops_at, BEGAN_AT + 59.3)
