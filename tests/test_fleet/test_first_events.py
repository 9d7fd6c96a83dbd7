"""Tests of the waits for first events at an endpoint."""

from __future__ import annotations

import unittest
from contextlib import ExitStack

from parameterized import parameterized

from agatehoist.core.identity import AttemptId
from agatehoist.fleet.first_events import (
    MAX_SAMPLES,
    MIN_KNOWN_SAMPLES,
    PEER_WAIT_MAX_AGE_S,
    SAMPLE_MAX_AGE_S,
    FirstEventTimes,
)
from agatehoist.fleet.load import DEFAULT_PREFILL_TOKENS_PER_S, Load
from agatehoist.protocol.node_reports import endpoint_key

FIRST, SECOND = AttemptId("i", 1), AttemptId("i", 2)


class SlowestWaitTests(unittest.TestCase):
    def test_waits_in_progress_count_from_their_dispatch(self) -> None:
        times = FirstEventTimes()
        with ExitStack() as stack:
            stack.enter_context(times.waiting("e", FIRST, 10.0))
            stack.enter_context(times.waiting("e", SECOND, 11.0))
            self.assertEqual(times.slowest_s("e", 12.5), 2.5)
            times.note_first_event("e", FIRST, 12.6)
            self.assertAlmostEqual(times.slowest_s("e", 13.0), 2.6)
        self.assertAlmostEqual(times.slowest_s("e", 17.0), 2.6)
        self.assertEqual(times.slowest_s("other", 20.0), 0.0)

    def test_attempt_without_an_event_is_forgotten_when_it_ends(self) -> None:
        times = FirstEventTimes()
        with times.waiting("e", FIRST, 10.0):
            pass
        self.assertEqual(times.slowest_s("e", 20.0), 0.0)

    def test_endpoint_that_answers_fast_again_is_no_longer_slow(self) -> None:
        times = FirstEventTimes()
        for number, wait_s in enumerate([3.0] + [0.1] * MAX_SAMPLES):
            attempt = AttemptId("i", number)
            with times.waiting("e", attempt, 13.0 - wait_s):
                times.note_first_event("e", attempt, 13.0)
        self.assertAlmostEqual(times.slowest_s("e", 14.0), 0.1)
        self.assertTrue(times.is_known("e", 14.0))

    def test_old_waits_tell_nothing_of_an_endpoint(self) -> None:
        times = FirstEventTimes()
        for number in range(MAX_SAMPLES):
            attempt = AttemptId("i", number)
            with times.waiting("e", attempt, 10.0):
                times.note_first_event("e", attempt, 13.0)
        later = 13.1 + SAMPLE_MAX_AGE_S
        self.assertEqual(times.slowest_s("e", later), 0.0)
        self.assertFalse(times.is_known("e", later))

    def test_nothing_is_kept_of_an_endpoint_that_has_ended(self) -> None:
        times = FirstEventTimes()
        with times.waiting("e", FIRST, 10.0):
            times.note_first_event("e", FIRST, 12.0)
            times.forget("e")
        self.assertEqual(times.slowest_s("e", 20.0), 0.0)


class PeerWaitTests(unittest.TestCase):
    # The waits at an endpoint that peers report, each with its time, and the longest
    # wait that counts at second 12.
    @parameterized.expand(
        [
            ("none", [], 0.4),
            ("longer", [(11.0, 1.5)], 1.5),
            ("shorter", [(11.0, 0.3)], 0.4),
            ("one_peer_has_seen_it_fast", [(11.0, 1.5), (11.5, 0.6)], 1.5),
            ("old", [(12.0 - PEER_WAIT_MAX_AGE_S - 0.1, 1.5)], 0.4),
            ("old_and_faster_now", [(9.0, 1.5), (11.9, 0.6)], 0.6),
        ]
    )
    def test_queue_that_other_gateways_fill_is_known(
        self, _name: str, told: list[tuple[float, float]], expected: float
    ) -> None:
        times = FirstEventTimes()
        for at, wait_s in told:
            times.note_peer_waits({endpoint_key("e"): wait_s}, at)
        with times.waiting("e", FIRST, 11.6):
            self.assertAlmostEqual(times.slowest_s("e", 12.0), expected)

    def test_peers_are_not_told_again_what_they_have_measured(self) -> None:
        times = FirstEventTimes()
        times.note_peer_waits({endpoint_key("e"): 3.0, endpoint_key("f"): 3.0}, 12.0)
        with times.waiting("e", FIRST, 11.0), times.waiting("g", SECOND, 11.9):
            self.assertEqual(times.slow_endpoints(0.5, 12.0), {endpoint_key("e"): 1.0})


class BeginWaitTests(unittest.TestCase):
    # Answers of the endpoint that have begun lately, and how much longer than assumed
    # its own prompt may take: another endpoint takes 8 times as long.
    @parameterized.expand([("unknown", 0, 8.0), ("known", MIN_KNOWN_SAMPLES, 1.0)])
    def test_endpoint_of_which_little_is_known_counts_as_slow(
        self, _name: str, answers: int, factor: float
    ) -> None:
        load = Load()
        for _ in range(100):
            load.capacity.learn_first_event("slow", 0.1, 0.8)
        for number in range(answers):
            attempt = AttemptId("i", number)
            with load.first_events.waiting("e", attempt, 10.0):
                load.first_events.note_first_event("e", attempt, 10.0)
        wait_s = load.begin_wait_s("e", 4000, 10.0)
        expected = factor * 4000 / DEFAULT_PREFILL_TOKENS_PER_S
        self.assertAlmostEqual(wait_s, expected, delta=0.02)
