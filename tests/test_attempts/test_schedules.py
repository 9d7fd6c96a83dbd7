"""Simulation tests of the attempts under seeded fault schedules."""

from __future__ import annotations

import os
import unittest

from parameterized import parameterized

from agatehoist.attempts.types import Finish, Refuse
from agatehoist.core.work import Run
from tests.test_attempts.sidecars import Faults
from tests.test_attempts.simulation import AttemptSimulation

SCHEDULES = int(os.environ.get("AGATEHOIST_SCHEDULES", "500"))
FIRST_SEED = int(os.environ.get("AGATEHOIST_FIRST_SEED", "1"))
TOKENS = 8

FAULTS = [
    ("duplicate", Faults(duplicate=0.3)),
    ("reorder", Faults(slow=0.2)),
    ("cut", Faults(hold=0.5, strikes=("cut",), strike_count=3)),
    ("kill", Faults(strikes=("kill",), strike_count=2)),
    ("freeze", Faults(hold=0.5, strikes=("freeze",), strike_count=2)),
    ("endpoint_death", Faults(strikes=("endpoint",), strike_count=2)),
    ("cross", Faults(slow=0.3, strikes=("endpoint", "kill"), strike_count=3)),
    ("leave", Faults(duplicate=0.3, strikes=("leave", "cut"), strike_count=2)),
    (
        "all",
        Faults(
            duplicate=0.1,
            slow=0.1,
            hold=0.5,
            strikes=("cut", "kill", "freeze", "endpoint", "leave"),
            strike_count=4,
        ),
    ),
]

WORK = [
    ("completion", TOKENS, True),
    ("lookup", 0, True),
    ("booking", 0, False),
]

# Faults under which every request must get its complete answer.
ALWAYS_WHOLE = {
    "completion": {"duplicate", "reorder", "cut", "endpoint_death", "leave"},
    "lookup": {"duplicate", "reorder", "cut", "endpoint_death", "leave"},
    "booking": {"duplicate", "reorder", "cut"},
}

CASES = [
    (f"{work}_{fault}", tokens, idempotent, faults, fault in ALWAYS_WHOLE[work])
    for work, tokens, idempotent in WORK
    for fault, faults in FAULTS
]


class ScheduleTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_no_double_run_no_wrong_refusal_no_broken_answer(
        self, _name: str, tokens: int, idempotent: bool, faults: Faults, whole: bool
    ) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            simulation = AttemptSimulation(seed, faults, tokens, idempotent)
            simulation.run()
            self._check_answer(seed, simulation)
            self._check_refusal(seed, simulation)
            if not idempotent:
                self.assertLessEqual(simulation.runs, 1, f"seed {seed}: double run")
            if whole:
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
        if not isinstance(simulation.result, Refuse):
            return
        run = simulation.result.refusal.run
        if run is Run.NO:
            self.assertEqual(simulation.runs, 0, f"seed {seed}: wrong refusal")
        if run is Run.YES:
            self.assertGreater(simulation.runs, 0, f"seed {seed}: wrong refusal")
