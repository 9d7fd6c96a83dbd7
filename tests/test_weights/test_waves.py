"""Tests of who orders new weights and which endpoints take them next."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from agatehoist.weights.plan import UNKNOWN_TIME, WeightsView
from agatehoist.weights.types import NamedWeights, Plan, SeenPlan
from agatehoist.weights.waves import (
    LEASE_S,
    Candidate,
    claim,
    next_wave,
    wave_share,
)

TURN_S = 3.0
NOW = 100.0


def seen(
    holder: str, at: float, released: bool = False, idle_s: float = 0.0
) -> SeenPlan:
    """Return a plan that was seen at a time."""
    plan = Plan("m", holder, 3, 5, 9, released=released, idle_s=idle_s)
    return SeenPlan(plan, 40, at)


class ClaimTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("nobody_holds", None, True, 0.0),
            ("own_plan", seen("me", NOW), True, 0.0),
            ("fresh_plan_of_another", seen("you", NOW), False, None),
            ("long_silent", seen("you", NOW - 60), True, 0.0),
            ("just_released", seen("you", NOW, True, 0.0), True, TURN_S),
            ("released_after_rest", seen("you", NOW, True, 10.0), True, 0.0),
        ]
    )
    def test_claims(
        self, _name: str, plan: SeenPlan | None, may_write: bool, wait_s: float | None
    ) -> None:
        times = claim("me", plan, NOW, TURN_S, NOW - 2.0)
        self.assertEqual(times.write_at <= NOW, may_write)
        if wait_s is not None:
            self.assertGreaterEqual(times.order_at, NOW + wait_s)
            self.assertLess(times.order_at, NOW + wait_s + 0.5)

    def test_holders_in_turn_are_a_turn_apart(self) -> None:
        rng = random.Random(7)
        for _ in range(2000):
            written_at = NOW - rng.uniform(0, 10)
            seen_at = written_at + rng.uniform(0, 1)
            times = claim("me", seen("you", seen_at), NOW, TURN_S, NOW)
            last_order_at = written_at + LEASE_S
            self.assertGreaterEqual(times.order_at - last_order_at, TURN_S)


class WaveTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("a_third", 9, 0, 3),
            ("rounded_up", 5, 0, 2),
            ("one_at_least", 1, 0, 1),
            ("less_what_is_under_way", 9, 2, 1),
            ("no_room", 9, 3, 0),
        ]
    )
    def test_size(self, _name: str, count: int, under_way: int, expected: int) -> None:
        candidates = [Candidate(f"e{index}", 1) for index in range(count)]
        busy = frozenset(f"e{index}" for index in range(under_way))
        wave = next_wave(candidates, 2, busy, 1 / 3)
        self.assertEqual(len(wave), expected)
        self.assertFalse(busy & set(wave))

    @parameterized.expand([(0.0, 1 / 5), (3.5, 1 / 5), (3.7, 1 / 3), (5.3, 1 / 2)])
    def test_more_change_when_time_runs_short(
        self, elapsed_s: float, share: float
    ) -> None:
        self.assertEqual(wave_share(elapsed_s, 8.0), share)

    def test_the_oldest_weights_go_first(self) -> None:
        candidates = [Candidate(f"e{index}", index % 3) for index in range(9)]
        wave = next_wave(candidates, 3, frozenset(), 1 / 3)
        self.assertEqual(set(wave), {"e0", "e3", "e6"})

    def test_nothing_is_left_for_those_that_have_the_weights(self) -> None:
        self.assertEqual(next_wave([Candidate("e", 3)], 3, frozenset(), 1.0), ())


class WeightsViewTests(unittest.TestCase):
    @parameterized.expand([(0.0, 0), (1.0, 1), (3.9, 1), (4.0, 2), (9.0, 4)])
    def test_each_naming_counts_from_its_own_time(
        self, until: float, version: int
    ) -> None:
        view = WeightsView()
        for at, named in ((1.0, 1), (4.0, 2), (8.0, 4)):
            self.assertTrue(view.name(NamedWeights("m", named), at))
        self.assertEqual(view.required_version("m", until), version)

    @parameterized.expand(
        [
            ("found_at_the_start", UNKNOWN_TIME, False, [5.0], 5.0),
            ("found_after_an_outage", 1.0, False, [5.0], 5.0),
            ("nobody_saw_it", 4.0, False, [], 4.0),
            ("nothing_heard", 4.0, True, [], 4.0),
            ("a_peer_was_suspended", 4.0, True, [7.0], 4.0),
            ("suspended_here", 7.0, True, [4.0], 4.0),
            ("two_peers", UNKNOWN_TIME, False, [7.0, 5.0], 5.0),
            ("a_report_long_under_way", UNKNOWN_TIME, False, [5.0, 9.0], 5.0),
        ]
    )
    def test_a_naming_counts_from_when_it_was_seen_first(
        self, _name: str, at: float, seen: bool, heard: list[float], expected: float
    ) -> None:
        view = WeightsView()
        view.name(NamedWeights("m", 3), at, seen)
        for seen_at in heard:
            view.hear_named("m", 3, seen_at)
        self.assertEqual(view.required_version("m", expected), 3)
        self.assertEqual(view.required_version("m", expected - 0.1), 0)

    @parameterized.expand([("seen", True, [4.0]), ("found", False, [])])
    def test_only_what_was_seen_here_is_told(
        self, _name: str, seen: bool, expected: list[float]
    ) -> None:
        view = WeightsView()
        view.name(NamedWeights("m", 3), 4.0, seen)
        view.hear_named("m", 3, 3.0)
        self.assertEqual([at for _, at in view.seen_since(0.0)], expected)

    def test_namings_that_arent_known_yet_are_not_taken_from_peers(self) -> None:
        view = WeightsView()
        view.name(NamedWeights("m", 3), 1.0)
        view.hear_named("m", 4, 0.5)
        view.hear_named("other", 3, 0.5)
        self.assertEqual(view.required_version("m", 9.0), 3)
        self.assertEqual(view.required_version("other", 9.0), 0)

    @parameterized.expand([(0.5, [3, 4]), (1.0, [4]), (9.0, [])])
    def test_namings_of_late(self, since: float, versions: list[int]) -> None:
        view = WeightsView()
        view.name(NamedWeights("m", 2), UNKNOWN_TIME, seen=False)
        for at, named in ((1.0, 3), (2.0, 4)):
            view.name(NamedWeights("m", named), at)
        found = [weights.version for weights, _ in view.seen_since(since)]
        self.assertEqual(found, versions)

    def test_older_names_and_plans_are_ignored(self) -> None:
        view = WeightsView()
        view.name(NamedWeights("m", 3), 1.0)
        self.assertFalse(view.name(NamedWeights("m", 2), 2.0))
        self.assertTrue(view.see(seen("you", 1.0)))
        self.assertFalse(view.see(seen("me", 2.0)))
