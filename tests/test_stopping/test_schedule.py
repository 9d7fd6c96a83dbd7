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

    # When the final answers begin, and the end of the process, in a grace of 60 s.
    @parameterized.expand(
        [
            ("in_time", 59.1, 59.3),
            ("a_little_late", 59.19, 59.3),
            ("late", 59.25, 59.35),
            ("after_the_end", 59.35, 59.45),
            ("near_the_end_of_the_grace", 59.9, 59.5),
        ]
    )
    def test_only_a_process_that_stood_still_takes_longer_for_its_answers(
        self, _name: str, answered_s: float, stops_s: float
    ) -> None:
        stops_at = stop_schedule(BEGAN_AT, 60.0).stops_at_after(BEGAN_AT + answered_s)
        self.assertAlmostEqual(stops_at, BEGAN_AT + stops_s)
