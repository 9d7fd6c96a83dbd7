"""Tests of roll-out takeover, wave sizes and target versions."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.storage.revisions import Revision
from agatehoist.weights.types import Plan, SeenPlan, TargetWeights, first_token
from agatehoist.weights.view import UNKNOWN_TIME, WeightsView
from agatehoist.weights.waves import (
    LEASE_S,
    Continuity,
    WaveCandidate,
    next_wave,
    takeover_times,
    wave_share,
)

MIN_ORDER_GAP_S = 3.0
NOW = 100.0


def seen_plan(
    holder: str, at: float, released: bool = False, idle_s: float = 0.0
) -> SeenPlan:
    """Return a plan read at a given time."""
    plan = Plan("m", holder, 3, 5, 9, released=released, idle_s=idle_s)
    return SeenPlan(plan, Revision(0, 40), at)


def own_plan(
    at: float, orders_wait_s: float | None, released: bool = False, idle_s: float = 0.0
) -> SeenPlan:
    """Return a plan that a process of this node has written."""
    seen = seen_plan("me", at, released, idle_s)
    return replace(seen, plan=replace(seen.plan, orders_wait_s=orders_wait_s))


def copied_plan(holder: str, at: float, released: bool = False) -> SeenPlan:
    """Return a plan that the store has from an earlier era."""
    plan = Plan("m", holder, 3, 5, 9, released=released, idle_s=60.0, era=1)
    return SeenPlan(plan, Revision(2, 40), at)


class TakeoverTests(unittest.TestCase):
    # `long_silent` is a holder that hasn't written the plan for long. In
    # `released_after_rest`, its last order was sent long before the release.
    @parameterized.expand(
        [
            ("nobody_holds", None, True, 0.0),
            ("own_plan", own_plan(NOW, 0.0), True, 0.0),
            ("own_after_another", own_plan(NOW - 1.0, 2.5), True, 1.5),
            ("own_after_a_wait", own_plan(NOW - 3.0, 2.5), True, 0.0),
            ("own_released", own_plan(NOW, 2.5, True, 9.0), True, 2.5),
            ("own_odd_wait", own_plan(NOW - 4.1, 1e9), True, 0.0),
            ("own_of_earlier_release", own_plan(NOW, None), True, MIN_ORDER_GAP_S),
            ("own_long_ago", own_plan(NOW - 9.0, None), True, 0.0),
            ("own_released_before", own_plan(NOW, None, True, 9.0), True, 0.0),
            ("fresh_plan_of_another", seen_plan("you", NOW), False, None),
            ("long_silent", seen_plan("you", NOW - 60), True, 0.0),
            ("just_released", seen_plan("you", NOW, True, 0.0), True, MIN_ORDER_GAP_S),
            ("released_after_rest", seen_plan("you", NOW, True, 10.0), True, 0.0),
        ]
    )
    def test_takeover_times(
        self, _name: str, plan: SeenPlan | None, may_write: bool, wait_s: float | None
    ) -> None:
        times = takeover_times("me", plan, NOW, MIN_ORDER_GAP_S, NOW - 2.0)
        self.assertEqual(times.write_at <= NOW, may_write)
        if wait_s is not None:
            self.assertGreaterEqual(times.order_at, NOW + wait_s)
            self.assertLess(times.order_at, NOW + wait_s + 0.5)

    # What the store has after a restore, when this node first read it or until when its
    # own plan is safe, and the wait for its first write and order.
    @parameterized.expand(
        [
            ("own_copy", copied_plan("me", NOW), Continuity(NOW), 3.5, 4.1),
            ("copy_of_another", copied_plan("you", NOW), Continuity(NOW), 3.5, 4.1),
            ("released_copy", copied_plan("you", NOW, True), Continuity(NOW), 3.5, 4.1),
            ("old_copy", copied_plan("you", NOW - 9), Continuity(NOW - 9), 0.0, 0.0),
            ("no_plan", None, Continuity(NOW), 3.5, 4.1),
            ("no_plan_for_long", None, Continuity(NOW - 9), 0.0, 0.0),
            (
                "still_the_holder",
                copied_plan("you", NOW),
                Continuity(NOW, NOW + 1),
                0.0,
                0.0,
            ),
            ("no_plan_still_the_holder", None, Continuity(NOW, NOW + 1), 0.0, 0.0),
        ]
    )
    def test_restored_store_gives_nobody_a_plan_too_early(
        self,
        _name: str,
        plan: SeenPlan | None,
        continuity: Continuity,
        write_s: float,
        order_s: float,
    ) -> None:
        times = takeover_times("me", plan, NOW, MIN_ORDER_GAP_S, NOW - 5.0, continuity)
        self.assertAlmostEqual(times.write_at, NOW + write_s)
        self.assertAlmostEqual(times.order_at, NOW + order_s)

    def test_tokens_of_an_era_are_above_all_lost_ones(self) -> None:
        self.assertEqual(first_token(0), 1)
        lost = [first_token(era) + 100_000 for era in range(5)]
        self.assertTrue(all(first_token(era + 1) > lost[era] for era in range(5)))

    def test_orders_of_successive_holders_keep_the_minimum_gap(self) -> None:
        rng = random.Random(7)
        for _ in range(2000):
            written_at = NOW - rng.uniform(0, 10)
            seen_at = written_at + rng.uniform(0, 1)
            times = takeover_times(
                "me", seen_plan("you", seen_at), NOW, MIN_ORDER_GAP_S, NOW
            )
            last_order_at = written_at + LEASE_S
            self.assertGreaterEqual(times.order_at - last_order_at, MIN_ORDER_GAP_S)


class WaveTests(unittest.TestCase):
    # Endpoints that are changing count against the share; in `no_room` they use it up.
    @parameterized.expand(
        [
            ("a_third", 9, 0, 3),
            ("rounded_up", 5, 0, 2),
            ("one_at_least", 1, 0, 1),
            ("less_what_is_under_way", 9, 2, 1),
            ("no_room", 9, 3, 0),
        ]
    )
    def test_wave_size(
        self, _name: str, count: int, changing: int, expected: int
    ) -> None:
        candidates = [WaveCandidate(f"e{index}", 1) for index in range(count)]
        busy = frozenset(f"e{index}" for index in range(changing))
        wave = next_wave(candidates, 2, busy, 1 / 3)
        self.assertEqual(len(wave), expected)
        self.assertFalse(busy & set(wave))

    @parameterized.expand([(0.0, 1 / 5), (3.5, 1 / 5), (3.7, 1 / 3), (5.3, 1 / 2)])
    def test_wave_share_grows_as_time_runs_short(
        self, elapsed_s: float, share: float
    ) -> None:
        self.assertEqual(wave_share(elapsed_s, 8.0), share)

    def test_endpoints_with_the_oldest_weights_change_first(self) -> None:
        candidates = [WaveCandidate(f"e{index}", index % 3) for index in range(9)]
        wave = next_wave(candidates, 3, frozenset(), 1 / 3)
        self.assertEqual(set(wave), {"e0", "e3", "e6"})

    def test_up_to_date_endpoints_are_not_changed(self) -> None:
        self.assertEqual(next_wave([WaveCandidate("e", 3)], 3, frozenset(), 1.0), ())


class WeightsViewTests(unittest.TestCase):
    @parameterized.expand([(0.0, 0), (1.0, 1), (3.9, 1), (4.0, 2), (9.0, 4)])
    def test_required_version_is_the_newest_target_set_by_then(
        self, until: float, version: int
    ) -> None:
        view = WeightsView()
        for at, target in ((1.0, 1), (4.0, 2), (8.0, 4)):
            self.assertTrue(view.set_target(TargetWeights("m", target), at))
        self.assertEqual(view.required_version("m", until), version)

    # Columns: `at` is the time known here, `observed` whether the change was observed
    # here (otherwise `at` is the time of the read before it was found in a list),
    # `peer_times` the times that peers report. A process that was suspended observes a
    # change late.
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
    def test_earliest_observation_sets_the_target_time(
        self,
        _name: str,
        at: float,
        observed: bool,
        peer_times: list[float],
        expected: float,
    ) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 3), at, observed)
        for seen_at in peer_times:
            view.merge_target_time("m", 3, seen_at)
        self.assertEqual(view.required_version("m", expected), 3)
        self.assertEqual(view.required_version("m", expected - 0.1), 0)

    @parameterized.expand([("seen", True, [4.0]), ("found", False, [])])
    def test_only_local_observations_are_reported_to_peers(
        self, _name: str, observed: bool, expected: list[float]
    ) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 3), 4.0, observed)
        view.merge_target_time("m", 3, 3.0)
        self.assertEqual([at for _, at in view.targets_seen_since(0.0)], expected)

    # Case, the version that a peer saw named at 5.0 while 4 is the target, and what is
    # then required of requests that begin on versions named by 6.0.
    @parameterized.expand([("replaced", 3, 3), ("target", 4, 4), ("newer", 5, 0)])
    def test_version_that_was_replaced_before_the_start_is_required_in_time(
        self, _name: str, version: int, required: int
    ) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 4), 10.0, observed=False)
        view.merge_target_time("m", version, 5.0)
        self.assertEqual(view.required_version("m", 6.0), required)
        self.assertEqual(view.target("m"), 4)

    def test_unknown_targets_are_not_taken_from_peers(self) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 3), 1.0)
        view.merge_target_time("m", 4, 0.5)
        view.merge_target_time("other", 3, 0.5)
        self.assertEqual(view.required_version("m", 9.0), 3)
        self.assertEqual(view.required_version("other", 9.0), 0)

    def test_time_told_before_a_target_is_read_counts_once_it_is(self) -> None:
        view = WeightsView()
        view.merge_target_time("m", 3, 5.0)
        self.assertEqual(view.reported_version("m", 5.0), 3)
        self.assertEqual(view.reported_version("m", 4.9), 0)
        view.set_target(TargetWeights("m", 3), UNKNOWN_TIME, observed=False)
        self.assertEqual(view.reported_version("m", 5.0), 0)
        self.assertEqual(view.required_version("m", 4.9), 0)
        self.assertEqual(view.known_required_version("m", 5.0), 3)

    def test_target_of_unknown_age_is_not_known_to_be_required(self) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 3), UNKNOWN_TIME, observed=False)
        self.assertEqual(view.required_version("m", 0.0), 3)
        self.assertEqual(view.known_required_version("m", 9.0), 0)

    @parameterized.expand([(0.5, [3, 4]), (1.0, [4]), (9.0, [])])
    def test_recent_targets_are_returned(
        self, since: float, versions: list[int]
    ) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 2), UNKNOWN_TIME, observed=False)
        for at, target in ((1.0, 3), (2.0, 4)):
            view.set_target(TargetWeights("m", target), at)
        found = [weights.version for weights, _ in view.targets_seen_since(since)]
        self.assertEqual(found, versions)

    def test_older_targets_and_plans_are_ignored(self) -> None:
        view = WeightsView()
        view.set_target(TargetWeights("m", 3), 1.0)
        self.assertFalse(view.set_target(TargetWeights("m", 2), 2.0))
        self.assertTrue(view.accept_plan(seen_plan("you", 1.0)))
        self.assertFalse(view.accept_plan(seen_plan("me", 2.0)))

    def test_restored_plan_replaces_no_newer_one(self) -> None:
        view = WeightsView()
        newest = Plan("m", "you", 3, 6, 10, changing=("e1",), era=1)
        view.accept_plan(SeenPlan(newest, Revision(1, 60), 1.0))
        view.note_plans_listed(["m"], Revision(2, 0), 2.0)
        copied = copied_plan("me", 2.0)
        self.assertFalse(view.accept_plan(copied))
        self.assertEqual(view.plans_by_model["m"].plan, newest)
        self.assertEqual(view.stored_plans_by_model["m"], copied)

    # The plan is of revision 0/40. A list from before doesn't show that it is gone.
    @parameterized.expand(
        [
            ("newer_list", Revision(0, 41), False),
            ("newer_era", Revision(2, 0), False),
            ("older_list", Revision(0, 39), True),
        ]
    )
    def test_plan_is_stored_until_a_newer_list_lacks_it(
        self, _name: str, listed: Revision, is_stored: bool
    ) -> None:
        view = WeightsView()
        view.accept_plan(seen_plan("you", 1.0))
        view.note_plans_listed([], listed, 2.0)
        self.assertEqual("m" in view.stored_plans_by_model, is_stored)
        self.assertIn("m", view.plans_by_model)
