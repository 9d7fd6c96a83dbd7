"""Tests of the share of the event loop that large bodies take."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.http1.reading_turns import pause_for


class PauseTests(unittest.TestCase):
    # Time spent on large bodies, how many others wait, and the pause.
    @parameterized.expand(
        [("several", 0.01, 3, 0.01), ("one_alone", 0.5, 0, 0.0), ("short", 0.001, 9, 0)]
    )
    def test_many_bodies_leave_half_of_the_time_to_others(
        self, _name: str, busy_s: float, waiting: int, expected_s: float
    ) -> None:
        self.assertEqual(pause_for(busy_s, waiting), expected_s)
