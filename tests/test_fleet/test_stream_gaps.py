"""Tests of the longest gap of a stream."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.fleet.load import EndpointWork
from agatehoist.fleet.stream_gaps import StreamGaps

IDLE, BUSY = EndpointWork(3), EndpointWork(9, 6000)


class StreamGapsTests(unittest.TestCase):
    # Case, events with their times and the load then, and the longest gap with its
    # load. The prompt that delays an event is often read by the time it comes.
    @parameterized.expand(
        [
            ("one_event", [(1.0, BUSY)], 0.0, EndpointWork()),
            ("prefill_has_ended", [(1.0, BUSY), (1.4, IDLE)], 0.4, BUSY),
            ("prefill_has_begun", [(1.0, IDLE), (1.4, BUSY)], 0.4, BUSY),
            (
                "load_of_the_longest",
                [(1.0, IDLE), (1.4, IDLE), (1.5, BUSY)],
                0.4,
                IDLE,
            ),
            ("clock_set_back", [(2.0, IDLE), (1.0, IDLE)], 0.0, EndpointWork()),
        ]
    )
    def test_longest_gap_has_the_load_that_explains_it(
        self,
        _name: str,
        events: list[tuple[float, EndpointWork]],
        gap_s: float,
        work: EndpointWork,
    ) -> None:
        gaps = StreamGaps("e")
        for at, load in events:
            gaps.note(at, load)
        self.assertAlmostEqual(gaps.longest.gap_s, gap_s)
        self.assertEqual(gaps.longest.work, work)
