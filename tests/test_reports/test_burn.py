"""Tests of the burn report on requests with known burn rates."""

from __future__ import annotations

import json
import unittest

from parameterized import parameterized

from agatehoist.core.work import Run
from agatehoist.reports.burn import Alert, BurnReport, make_report
from agatehoist.reports.formats import FORMATS
from agatehoist.reports.objectives import DEFAULT_OBJECTIVES_BY_NAME
from agatehoist.reports.recorder import (
    ALL_LABEL,
    MAX_SERIES,
    OTHERS_LABEL,
    BurnRecorder,
)
from agatehoist.reports.types import Objective, Observation

# The start of a minute.
START_S = 1_000_000_020.0
MINUTE_S = 60
GOOD_TTFT_S = 0.2
LATE_TTFT_S = 2.0


def observation_at(
    at: float, ttft: float | None = GOOD_TTFT_S, organisation: str = "archive"
) -> Observation:
    """Return the observation of one request."""
    return Observation(organisation, "songs-8b", at, True, Run.YES, ttft, 0.01)


def record_requests(
    minutes: int, late_of_20: int, good_minutes: int = 0, node: str = "router-0"
) -> BurnRecorder:
    """Record 20 requests a minute; after ``minutes`` none of them is late."""
    recorder = BurnRecorder(node, DEFAULT_OBJECTIVES_BY_NAME, START_S)
    for minute in range(minutes):
        for index in range(20):
            ttft = LATE_TTFT_S if index < late_of_20 else GOOD_TTFT_S
            recorder.record(observation_at(START_S + minute * MINUTE_S + index, ttft))
    for minute in range(minutes, minutes + good_minutes):
        for index in range(20):
            recorder.record(observation_at(START_S + minute * MINUTE_S + index))
    return recorder


def report_at(recorder: BurnRecorder, minutes: int) -> BurnReport:
    """Return the report at a number of minutes after the start."""
    return make_report([recorder.snapshot(START_S + minutes * MINUTE_S - 1)])


# The objective allows 5% late requests, so 1 late request of 20 is a burn rate of 1.
BURNS = [
    ("none_late", 60, 0, 0, 0.0, 0.0, Alert.NONE),
    ("as_allowed", 60, 1, 0, 1.0, 1.0, Alert.NONE),
    ("four_times", 60, 4, 0, 4.0, 4.0, Alert.TICKET),
    ("all_late", 60, 20, 0, 20.0, 20.0, Alert.PAGE),
    ("recovered", 30, 20, 30, 10.0, 0.0, Alert.TICKET),
    ("just_began", 5, 20, 0, 20.0, 20.0, Alert.PAGE),
]


class BurnTests(unittest.TestCase):
    @parameterized.expand(BURNS)
    def test_burn_rates_and_alert(
        self,
        _name: str,
        minutes: int,
        late: int,
        minutes_without_late: int,
        hour_rate: float,
        five_minutes_rate: float,
        alert: Alert,
    ) -> None:
        report = report_at(
            record_requests(minutes, late, minutes_without_late),
            minutes + minutes_without_late,
        )
        line = next(
            line
            for line in report.lines
            if (line.key.objective, line.key.organisation) == ("first_token", ALL_LABEL)
        )
        self.assertAlmostEqual(line.rates_by_window["1h"], hour_rate)
        self.assertAlmostEqual(line.rates_by_window["5m"], five_minutes_rate)
        self.assertEqual(line.alert, alert)

    def test_one_bad_request_raises_no_alert(self) -> None:
        recorder = BurnRecorder("router-0", DEFAULT_OBJECTIVES_BY_NAME, START_S)
        recorder.record(observation_at(START_S, LATE_TTFT_S))
        alerts = {line.alert for line in report_at(recorder, 1).lines}
        self.assertEqual(alerts, {Alert.NONE})

    def test_counts_of_routers_are_summed(self) -> None:
        snapshots = [
            record_requests(10, late, node=node).snapshot(START_S + 10 * MINUTE_S - 1)
            for node, late in (("router-0", 2), ("router-1", 0))
        ]
        report = make_report(snapshots)
        self.assertEqual(report.nodes, ("router-0", "router-1"))
        line = next(x for x in report.lines if x.key.objective == "first_token")
        self.assertEqual(line.tallies_by_window["1h"].total, 400)
        self.assertAlmostEqual(line.rates_by_window["1h"], 1.0)

    def test_requests_before_the_window_are_not_counted(self) -> None:
        recorder = record_requests(5, 20, 120)
        line = next(
            x for x in report_at(recorder, 125).lines if x.key.organisation == ALL_LABEL
        )
        self.assertEqual(line.rates_by_window["1h"], 0.0)

    def test_series_beyond_the_limit_share_one(self) -> None:
        recorder = BurnRecorder("router-0", DEFAULT_OBJECTIVES_BY_NAME, START_S)
        for index in range(1000):
            recorder.record(
                observation_at(START_S, organisation=f"organisation-{index}")
            )
        report = report_at(recorder, 1)
        # Each of the 4 objectives may add its totals and its series of the others.
        self.assertLessEqual(len(report.lines), MAX_SERIES + 8)
        self.assertIn(OTHERS_LABEL, {line.key.organisation for line in report.lines})

    def test_changed_objective_resets_its_counts(self) -> None:
        recorder = record_requests(10, 20)
        changed = {**DEFAULT_OBJECTIVES_BY_NAME, "first_token": Objective("ttft", 0.9)}
        recorder.set_objectives(changed)
        names = {line.key.objective for line in report_at(recorder, 10).lines}
        self.assertEqual(names, set(DEFAULT_OBJECTIVES_BY_NAME) - {"first_token"})

    @parameterized.expand([("text",), ("json",), ("html",)])
    def test_report_in_every_format(self, name: str) -> None:
        text = FORMATS[name](report_at(record_requests(60, 20), 60))
        self.assertIn("first_token", text)
        self.assertIn("page", text)
        if name == "json":
            # 4 objectives, each in total and for one organisation.
            self.assertEqual(len(json.loads(text)["lines"]), 8)
        if name == "html":
            # The page must not refer to other files.
            self.assertNotIn("http", text)
