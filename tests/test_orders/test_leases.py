"""Tests of the decisions on leases and roll-outs."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from typing import Any

from parameterized import parameterized

from agatehoist.configuration import Orders
from agatehoist.orders.leases import LoadRequest, decide_on_lease, record_load_result
from agatehoist.orders.types import (
    Failure,
    Goal,
    Granted,
    Holding,
    Lease,
    LeaseRequester,
    Ledger,
    ModelEndpoints,
    Rollout,
    Stopped,
    Waiting,
)
from bench.rollouts import RolloutFaults, Simulation

NOW = 50.0
HOSTS = frozenset(f"h{index}" for index in range(8))
GOAL = Goal("h0", Holding("m", "2"), 1, 7, "m")
ROLLOUT_WITH_LOADS = Rollout(GOAL.target, 7, loaded=2)


def lease(host: str, **changes: Any) -> Lease:
    """Return a lease for the goal's roll-out."""
    return replace(Lease(host, host, 1, "m", "m", GOAL.target, NOW + 9), **changes)


def ledger(rollout: Rollout, *leases: Lease) -> Ledger:
    """Return a ledger with the roll-out of one model."""
    return Ledger(leases, {"m": rollout})


def make_request(
    now: float = NOW, interrupts: bool = True, **orders: Any
) -> LoadRequest:
    """Return the load request of h0."""
    requester = LeaseRequester("h0", "h0", 1, interrupts)
    return LoadRequest(requester, GOAL, ModelEndpoints(8, HOSTS), Orders(**orders), now)


FAILED = Failure("h4", "h4", "bad")
MANY_FAILED = tuple(Failure(f"h{i}", f"h{i}", "bad") for i in range(1, 3))

CASES: list[tuple[str, Ledger, LoadRequest, type]] = [
    ("first", Ledger(), make_request(), Granted),
    (
        "first_runs_alone",
        ledger(Rollout(GOAL.target, 7), lease("h1")),
        make_request(),
        Waiting,
    ),
    ("second", ledger(ROLLOUT_WITH_LOADS, lease("h1")), make_request(), Granted),
    # The bound is `concurrent_loads`; it counts the leases of all models.
    (
        "bound",
        ledger(ROLLOUT_WITH_LOADS, lease("h1"), lease("h2"), lease("h3")),
        make_request(),
        Waiting,
    ),
    (
        "bound_counts_other_models",
        ledger(
            ROLLOUT_WITH_LOADS,
            *(lease(f"x{i}", model="other", rollout="other") for i in range(3)),
        ),
        make_request(),
        Waiting,
    ),
    (
        "lower_bound",
        ledger(ROLLOUT_WITH_LOADS, lease("h1")),
        make_request(concurrent_loads=1),
        Waiting,
    ),
    (
        "floor",
        ledger(ROLLOUT_WITH_LOADS, lease("h1")),
        make_request(capacity_floor=0.8),
        Waiting,
    ),
    # An engine without weights serves nothing, so its load doesn't lower the capacity.
    (
        "floor_spares_an_empty_engine",
        ledger(ROLLOUT_WITH_LOADS, lease("h1")),
        make_request(capacity_floor=0.8, interrupts=False),
        Granted,
    ),
    (
        "floor_counts_hosts_down",
        ledger(replace(ROLLOUT_WITH_LOADS, down_hosts=("h5",)), lease("h1")),
        make_request(capacity_floor=0.7),
        Waiting,
    ),
    (
        "floor_counts_a_pinned_host_that_failed",
        Ledger(
            (lease("h1"),),
            {"m": ROLLOUT_WITH_LOADS, "m@h4": Rollout("9+#1", 7, failures=(FAILED,))},
        ),
        make_request(capacity_floor=0.7),
        Waiting,
    ),
    (
        "own_lease_again",
        ledger(ROLLOUT_WITH_LOADS, lease("h0")),
        make_request(),
        Granted,
    ),
    # The successor is a newer sidecar of the same host.
    (
        "successor_holds_the_lease",
        ledger(ROLLOUT_WITH_LOADS, lease("h0", owner="new", fencing_number=2)),
        make_request(),
        Stopped,
    ),
    (
        "lapsed_lease_makes_room",
        ledger(
            ROLLOUT_WITH_LOADS, lease("h1"), lease("h2"), lease("h3", expires_at=NOW)
        ),
        make_request(),
        Granted,
    ),
    # Two expired leases delay the roll-out as one failure would stop it.
    (
        "two_lapsed_leases_hold_the_rollout",
        ledger(
            ROLLOUT_WITH_LOADS, lease("h2", expires_at=NOW), lease("h3", expires_at=NOW)
        ),
        make_request(),
        Waiting,
    ),
    (
        "failure_stops",
        ledger(replace(ROLLOUT_WITH_LOADS, failures=(FAILED,))),
        make_request(),
        Stopped,
    ),
    # A few failures after many loads are attributed to the hosts, not to the version.
    (
        "failure_after_many_loads_is_the_host's",
        ledger(replace(ROLLOUT_WITH_LOADS, loaded=60, failures=MANY_FAILED)),
        make_request(),
        Granted,
    ),
    (
        "own_failure_stops",
        ledger(
            replace(
                ROLLOUT_WITH_LOADS, loaded=60, failures=(Failure("h0", "h0", "bad"),)
            )
        ),
        make_request(),
        Stopped,
    ),
    (
        "newer_revision_is_in_force",
        ledger(replace(ROLLOUT_WITH_LOADS, target="3+#1", revision=8)),
        make_request(),
        Waiting,
    ),
    (
        "stop_ends_with_a_newer_revision",
        ledger(
            replace(ROLLOUT_WITH_LOADS, target="1+#1", revision=6, failures=(FAILED,))
        ),
        make_request(),
        Granted,
    ),
]


class DecisionTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_decision_on_a_lease_request(
        self, _name: str, current: Ledger, load_request: LoadRequest, expected: type
    ) -> None:
        decision = decide_on_lease(current, load_request, random.Random(1))
        self.assertIsInstance(decision, expected, decision)
        if isinstance(decision, Granted):
            self.assertIn(decision.lease, decision.ledger.leases)
            hosts = [each.host for each in decision.ledger.leases]
            self.assertEqual(len(hosts), len(set(hosts)))

    @parameterized.expand([("", 3, 0), ("bad", 2, 1)])
    def test_recording_a_load_result_is_idempotent(
        self, error: str, loaded: int, failed: int
    ) -> None:
        mine = lease("h0")
        once = record_load_result(ledger(ROLLOUT_WITH_LOADS, mine), mine, error)
        self.assertEqual(record_load_result(once, mine, error), once)
        rollout = once.rollouts_by_name["m"]
        self.assertEqual((rollout.loaded, len(rollout.failures)), (loaded, failed))

    def test_late_success_removes_the_host_from_lapsed_hosts(self) -> None:
        mine = lease("h0", expires_at=NOW)
        other = replace(make_request(), requester=LeaseRequester("h1", "h1", 1, True))
        granted = decide_on_lease(
            ledger(ROLLOUT_WITH_LOADS, mine), other, random.Random(1)
        )
        assert isinstance(granted, Granted)
        rollout = granted.ledger.rollouts_by_name["m"]
        self.assertEqual(rollout.lapsed_hosts, ("h0",))
        rollout = record_load_result(granted.ledger, mine, "").rollouts_by_name["m"]
        self.assertEqual((rollout.loaded, rollout.lapsed_hosts), (3, ()))


class RolloutTests(unittest.TestCase):
    @parameterized.expand(
        [
            (name, seed, hosts, loads, faults)
            for seed in range(4)
            for hosts, loads in ((10, 3), (40, 2))
            for name, faults in (
                ("calm", RolloutFaults()),
                ("lost_answers", RolloutFaults(lost_answer_share=0.3)),
                ("outage_at_first", RolloutFaults(down_from=1.5, down_until=300.0)),
                ("outage", RolloutFaults(down_from=5.0, down_until=300.0)),
            )
        ]
    )
    def test_every_host_loads_within_the_limits(
        self, _name: str, seed: int, hosts: int, loads: int, faults: RolloutFaults
    ) -> None:
        orders = Orders(concurrent_loads=loads, capacity_floor=0.75)
        outcome = Simulation(hosts, orders, seed, 0.5, faults).run(3600)
        self.assertEqual(outcome.loaded, hosts, outcome)
        self.assertLessEqual(outcome.peak_loads, loads)
        self.assertGreaterEqual(outcome.fewest_serving, 0.75 * hosts)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_bad_version_is_loaded_by_one_host_only(self, seed: int) -> None:
        outcome = Simulation(40, Orders(), seed, faults=RolloutFaults(bad=True)).run(
            3600
        )
        self.assertEqual((outcome.loaded, outcome.failed), (0, 1))

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_dead_hosts_do_not_block_the_others(self, seed: int) -> None:
        faults = RolloutFaults(dead_share=0.01)
        outcome = Simulation(200, Orders(), seed, faults=faults).run(3600)
        self.assertGreaterEqual(outcome.loaded, 195)
        self.assertLessEqual(outcome.peak_loads, 3)
