"""Tests that tell an outage of the store from failures while it serves."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.storage.errors import (
    CallCutError,
    CallTimedOutError,
    PlatformUnavailableError,
    RateLimitedError,
)
from agatehoist.storage.outages import (
    OUTAGE_GRACE_S,
    SILENCE_GRACE_S,
    OutageDetector,
)

CUT, SILENT = CallCutError("cut"), CallTimedOutError("silent")
LIMITED = RateLimitedError("too many calls")
REFUSED = PlatformUnavailableError("refused")


class OutageTests(unittest.TestCase):
    # The failures before the reply at 10 s, with their times.
    @parameterized.expand(
        [
            ("no_failure", [], 0.0),
            ("watch_cut", [(9.9, CUT)], 0.0),
            ("all_watches_cut", [(9.9, CUT)] * 5, 0.0),
            ("cut_twice", [(9.4, CUT), (9.8, CUT)], 0.0),
            ("one_call_refused", [(9.9, REFUSED)], 0.0),
            ("refused_for_long", [(7.0, REFUSED), (9.9, REFUSED)], OUTAGE_GRACE_S),
            ("cut_then_refused", [(7.0, CUT), (9.9, REFUSED)], OUTAGE_GRACE_S),
            ("cut_on_and_on", [(7 + n / 5, CUT) for n in range(15)], OUTAGE_GRACE_S),
            ("over_the_rate_limit", [(5.0, LIMITED), (9.9, LIMITED)], 0.0),
            ("one_silent_watch", [(9.9, SILENT)], SILENCE_GRACE_S),
            ("silent_for_long", [(7.0, SILENT), (9.0, SILENT)], OUTAGE_GRACE_S),
        ]
    )
    def test_missing_entries_are_kept_after_an_outage_only(
        self, _name: str, failures: list[tuple[float, Exception]], kept_s: float
    ) -> None:
        detector = OutageDetector()
        for at, error in failures:
            assert isinstance(error, PlatformUnavailableError)
            detector.note_failure(error, at)
        self.assertEqual(detector.note_reply(10.0), kept_s)
        self.assertEqual(detector.note_reply(10.1), 0.0)

    def test_store_that_no_node_answers_for_is_in_an_outage(self) -> None:
        detector = OutageDetector()
        detector.note_unavailable(7.0)
        detector.note_unavailable(9.0)
        self.assertEqual(detector.note_reply(10.0), OUTAGE_GRACE_S)
