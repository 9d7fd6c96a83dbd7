"""Tests of the line in which requests wait for room, and of the loads it answers."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.admission.line import (
    LINE_SHARE,
    MAX_SPREAD_S,
    MIN_RETRY_DELAY_S,
    RETRY_SHARE,
    Line,
    ReturnTimes,
    StartRequest,
    has_room,
)
from tests.test_admission.overload import (
    COLD_KIND,
    LONG_KIND,
    SHORT_KIND,
    Day,
    Overload,
)
from tests.test_admission.support import LONG, SHORT, make_job

NOW = 100.0
REQUEST = StartRequest(
    make_job(1, "a", SHORT, 400), 0.5, NOW, 0.1, NOW + 6.0, returned=False
)

TWO_DARK = Day((SHORT_KIND, LONG_KIND), dark=2)
TWO_DARK_AND_COLD = Day((SHORT_KIND, COLD_KIND), dark=2)
BURST = Day((SHORT_KIND, LONG_KIND), burst_x=3.5)

# Case, the day, least share of short and of long requests answered in time.
LOADS = [
    ("two_dark", TWO_DARK, 0.99, 0.95),
    ("two_dark_and_cold", TWO_DARK_AND_COLD, 0.75, 0.3),
    ("burst", BURST, 0.9, 0.85),
]


class RoomTests(unittest.TestCase):
    # Case, the request, the expected wait, seconds since its arrival, and the result.
    @parameterized.expand(
        [
            ("idle", REQUEST, 0.0, 0.0, True),
            ("short_wait", REQUEST, 0.29, 0.0, True),
            ("too_late", REQUEST, 0.31, 0.0, False),
            ("time_has_passed", REQUEST, 0.29, 0.1, False),
            ("never_in_time", replace(REQUEST, read_s=2.0), 0.04, 0.0, True),
            ("never_in_time_and_busy", replace(REQUEST, read_s=2.0), 0.06, 0.0, False),
            ("no_objective", replace(REQUEST, objective_s=0.0), 9.0, 0.0, True),
        ]
    )
    def test_request_starts_where_its_objective_can_be_met(
        self,
        _name: str,
        request: StartRequest,
        wait_s: float,
        after_s: float,
        starts: bool,
    ) -> None:
        self.assertEqual(has_room(request, wait_s, NOW + after_s), starts)


class ReturnTimeTests(unittest.TestCase):
    # Case, seconds until there is room, seconds until the caller's deadline, and
    # seconds until its return.
    @parameterized.expand(
        [
            ("soon", 0.0, 6.0, MIN_RETRY_DELAY_S),
            ("when_there_is_room", 0.9, 6.0, 0.9),
            ("within_the_callers_time", 5.0, 6.0, 6.0 * RETRY_SHARE),
            ("no_time_left", 5.0, -1.0, 0.0),
        ]
    )
    def test_first_return(
        self, _name: str, room_s: float, left_s: float, expected_s: float
    ) -> None:
        at = ReturnTimes().next_at(NOW + left_s, 0.4, NOW, NOW + room_s)
        self.assertAlmostEqual(at, NOW + expected_s)

    def test_returns_are_spread_in_the_order_of_refusals(self) -> None:
        line = Line(1000.0)
        patient = replace(REQUEST, deadline=NOW + 100.0)
        ats = [line.refuse(patient, NOW, NOW).retry_at or 0.0 for _ in range(30)]
        self.assertEqual(ats, sorted(ats))
        # 400 tokens take 0.4 s at this rate.
        self.assertAlmostEqual(ats[1] - ats[0], 0.4)
        self.assertAlmostEqual(ats[-1], NOW + MAX_SPREAD_S)


class LineTests(unittest.TestCase):
    # Case, the requests that wait (number, organisation, priority, returned), and the
    # numbers in the order in which they start.
    @parameterized.expand(
        [
            ("arrival", [(1, "a", SHORT, False), (2, "a", SHORT, False)], [1, 2]),
            ("short_first", [(1, "a", LONG, False), (2, "a", SHORT, False)], [2, 1]),
            ("returned_first", [(1, "a", SHORT, False), (2, "a", SHORT, True)], [2, 1]),
            (
                "organisations_by_turns",
                [
                    (1, "a", SHORT, False),
                    (2, "a", SHORT, False),
                    (3, "b", SHORT, False),
                ],
                [1, 3, 2],
            ),
        ]
    )
    def test_order(
        self,
        _name: str,
        waiting: list[tuple[int, str, object, bool]],
        expected: list[int],
    ) -> None:
        line = Line(1000.0)
        for number, organisation, priority, returned in waiting:
            job = make_job(number, organisation, priority, 400)  # type: ignore[arg-type]
            line.join(replace(REQUEST, job=job, returned=returned), NOW)
        order = []
        while (request := line.first(NOW)) is not None:
            order.append(request.job.attempt_id.sequence)
            line.start_first(NOW)
        self.assertEqual(order, expected)
        self.assertEqual(len(line), 0)

    def test_request_that_gives_up_leaves(self) -> None:
        line = Line(1000.0)
        line.join(REQUEST, NOW)
        line.leave(REQUEST.job.attempt_id)
        line.leave(REQUEST.job.attempt_id)
        self.assertIsNone(line.first(NOW))


class OverloadTests(unittest.TestCase):
    @parameterized.expand(LOADS)
    def test_callers_are_served_in_time_or_refused_soon(
        self, _name: str, day: Day, short_share: float, long_share: float
    ) -> None:
        played = Overload(day)
        played.play()
        self.assertGreaterEqual(played.share("short", "in time"), short_share)
        self.assertGreaterEqual(played.share("long", "in time"), long_share)
        for kind in ("short", "long"):
            self.assertLess(played.share(kind, "left waiting"), 0.05)
        longest_s = LINE_SHARE * LONG_KIND.objective_s + 0.001
        self.assertTrue(all(each <= longest_s for each in played.refused_after_s))

    def test_without_the_line_callers_are_left_waiting(self) -> None:
        played = Overload(TWO_DARK_AND_COLD, admits=False)
        played.play()
        self.assertGreater(played.share("short", "left waiting"), 0.3)

    @parameterized.expand(LOADS)
    def test_no_organisation_is_starved(
        self, _name: str, day: Day, _short_share: float, _long_share: float
    ) -> None:
        played = Overload(day)
        played.play()
        shares = [
            played.served_by_organisation[name] / asked
            for name, asked in played.asked_by_organisation.items()
        ]
        self.assertGreater(min(shares), 0.8 * max(shares))

    def test_refused_callers_come_back_in_order(self) -> None:
        played = Overload(TWO_DARK_AND_COLD)
        played.play()
        self.assertGreater(len(played.returned_at), 50)
        overtaken = sum(
            later[0] < earlier[0] - 1.0
            for earlier, later in zip(
                played.returned_at, played.returned_at[1:], strict=False
            )
        )
        self.assertLess(overtaken, 0.2 * len(played.returned_at))
