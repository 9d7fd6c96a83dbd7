"""Tests of the silence of endpoints towards all requests."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.fleet.silence import (
    REPORTED_WITHIN_S,
    RETENTION_S,
    Silences,
    is_wait_explained,
)

NOW = 100.0


class SilenceTests(unittest.TestCase):
    # Case, the waits of requests from and to a time, when the endpoint sent data, and
    # the silence at the last wait.
    @parameterized.expand(
        [
            ("one_wait", [(0.0, 1.0)], None, 1.0),
            ("repeated_report", [(0.0, 1.0), (0.0, 1.5)], None, 1.5),
            ("at_the_same_time", [(0.0, 1.0), (0.25, 1.25)], None, 1.25),
            ("one_after_the_other", [(0.0, 0.5), (2.0, 2.5)], None, 1.0),
            ("shorter_wait_reported_later", [(0.0, 1.0), (0.5, 1.0)], None, 1.0),
            ("data_in_between", [(0.0, 1.0), (1.5, 2.0)], 1.25, 0.5),
            ("long_ago", [(0.0, 1.0), (RETENTION_S + 2, RETENTION_S + 3)], None, 1.0),
        ]
    )
    def test_only_time_waited_in_vain_counts(
        self,
        _name: str,
        waits: list[tuple[float, float]],
        data_at: float | None,
        expected_s: float,
    ) -> None:
        silences = Silences()
        for began_at, until in waits:
            if data_at is not None and until > data_at:
                silences.note_data("e")
            silence_s = silences.note_wait("e", NOW + began_at, NOW + until)
        self.assertAlmostEqual(silence_s, expected_s)

    @parameterized.expand(
        [
            ("waited_for", 0.0, False, True),
            ("not_waited_for", REPORTED_WITHIN_S + 0.1, False, False),
            ("has_sent_data", 0.0, True, False),
        ]
    )
    def test_endpoint_is_silent_only_while_requests_wait(
        self, _name: str, later_s: float, has_data: bool, expected: bool
    ) -> None:
        silences = Silences()
        silences.note_wait("e", NOW, NOW + 1)
        if has_data:
            silences.note_data("e")
        self.assertEqual(silences.is_silent("e", NOW + 1 + later_s), expected)
        self.assertFalse(silences.is_silent("other", NOW + 1))


class ExplainedWaitTests(unittest.TestCase):
    # Case, the wait and the expected one by the work at the endpoint, in seconds.
    @parameterized.expand(
        [
            ("no_work", 2.0, 0.1, False),
            ("tolerated_silence", 1.4, 0.0, True),
            ("long_queue", 4.0, 2.0, True),
            ("longer_than_the_queue", 5.0, 2.0, False),
        ]
    )
    def test_wait_that_the_work_explains_is_no_fault(
        self, _name: str, waited_s: float, expected_s: float, is_explained: bool
    ) -> None:
        self.assertEqual(is_wait_explained(waited_s, expected_s), is_explained)
