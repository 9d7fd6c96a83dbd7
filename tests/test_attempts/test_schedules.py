"""Simulation tests of the attempts under seeded fault schedules."""

from __future__ import annotations

import os
import unittest

from parameterized import parameterized

from agatehoist.attempts.types import Finish, Refuse
from agatehoist.core.work import Run
from tests.test_attempts.sidecars import Faults
from tests.test_attempts.simulation import AttemptSimulation

SEED_COUNT = int(os.environ.get("AGATEHOIST_SCHEDULES", "500"))
FIRST_SEED = int(os.environ.get("AGATEHOIST_FIRST_SEED", "1"))
TOKENS = 8

FAULTS = [
    ("duplicate", Faults(duplicate_probability=0.3)),
    ("reorder", Faults(slow_probability=0.2)),
    (
        "cut",
        Faults(
            late_after_cut_probability=0.5,
            one_off_faults=("cut",),
            one_off_fault_count=3,
        ),
    ),
    ("kill", Faults(one_off_faults=("kill",), one_off_fault_count=2)),
    (
        "freeze",
        Faults(
            late_after_cut_probability=0.5,
            one_off_faults=("freeze",),
            one_off_fault_count=2,
        ),
    ),
    ("endpoint_death", Faults(one_off_faults=("endpoint",), one_off_fault_count=2)),
    # The endpoint and the sidecar stop at independent times while messages are slow.
    (
        "cross",
        Faults(
            slow_probability=0.3,
            one_off_faults=("endpoint", "kill"),
            one_off_fault_count=3,
        ),
    ),
    (
        "leave",
        Faults(
            duplicate_probability=0.3,
            one_off_faults=("leave", "cut"),
            one_off_fault_count=2,
        ),
    ),
    (
        "all",
        Faults(
            duplicate_probability=0.1,
            slow_probability=0.1,
            late_after_cut_probability=0.5,
            one_off_faults=("cut", "kill", "freeze", "endpoint", "leave"),
            one_off_fault_count=4,
        ),
    ),
]

WORK = [
    ("completion", TOKENS, True),
    ("lookup", 0, True),
    ("booking", 0, False),
]

# Faults under which every request must get its complete answer.
ALWAYS_COMPLETE = {
    "completion": {"duplicate", "reorder", "cut", "endpoint_death", "leave"},
    "lookup": {"duplicate", "reorder", "cut", "endpoint_death", "leave"},
    "booking": {"duplicate", "reorder", "cut"},
}

CASES = [
    (f"{work}_{fault}", tokens, idempotent, faults, fault in ALWAYS_COMPLETE[work])
    for work, tokens, idempotent in WORK
    for fault, faults in FAULTS
]


class ScheduleTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_no_double_run_no_wrong_refusal_no_broken_answer(
        self, _name: str, tokens: int, idempotent: bool, faults: Faults, complete: bool
    ) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEED_COUNT):
            simulation = AttemptSimulation(seed, faults, tokens, idempotent)
            simulation.run()
            self._check_answer(seed, simulation)
            self._check_refusal(seed, simulation)
            if not idempotent:
                self.assertLessEqual(
                    simulation.runs, 1, f"seed {seed}: non-idempotent request ran twice"
                )
            if complete:
                self.assertIsInstance(simulation.result, Finish, f"seed {seed}")

    def _check_answer(self, seed: int, simulation: AttemptSimulation) -> None:
        self.assertIsNotNone(simulation.result, f"seed {seed}: no result")
        attempts = [int(each.partition(".")[0]) for each in simulation.delivered]
        indices = [int(each.partition(".")[2]) for each in simulation.delivered]
        self.assertEqual(indices, list(range(len(indices))), f"seed {seed}")
        self.assertEqual(attempts, sorted(attempts), f"seed {seed}: attempts mixed")
        if isinstance(simulation.result, Finish):
            self.assertEqual(
                len(indices), simulation.token_count, f"seed {seed}: truncated"
            )
            self.assertGreater(simulation.runs, 0, f"seed {seed}")

    def _check_refusal(self, seed: int, simulation: AttemptSimulation) -> None:
        """Fail if the refusal contradicts what ran."""
        if not isinstance(simulation.result, Refuse):
            return
        run = simulation.result.refusal.run
        if run is Run.NO:
            self.assertEqual(
                simulation.runs, 0, f"seed {seed}: refused as not run, but it ran"
            )
        if run is Run.YES:
            self.assertGreater(
                simulation.runs, 0, f"seed {seed}: refused as run, but nothing ran"
            )
