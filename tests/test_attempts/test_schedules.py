"""Tests of the attempts under seeded schedules of faults."""

from __future__ import annotations

import os
import unittest

from parameterized import parameterized

from agatehoist.attempts.types import Finish, Refuse
from agatehoist.core.work import Run
from tests.test_attempts.sidecars import Faults
from tests.test_attempts.world import World

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

# Of these faults every request gets its whole answer.
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
    def test_no_double_run_no_false_refusal_no_broken_answer(
        self, _name: str, tokens: int, idempotent: bool, faults: Faults, whole: bool
    ) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SCHEDULES):
            world = World(seed, faults, tokens, idempotent)
            world.run()
            self._check_answer(seed, world)
            self._check_refusal(seed, world)
            if not idempotent:
                self.assertLessEqual(world.runs, 1, f"seed {seed}: double run")
            if whole:
                self.assertIsInstance(world.result, Finish, f"seed {seed}")

    def _check_answer(self, seed: int, world: World) -> None:
        self.assertIsNotNone(world.result, f"seed {seed}: no end")
        attempts = [int(each.partition(".")[0]) for each in world.delivered]
        indices = [int(each.partition(".")[2]) for each in world.delivered]
        self.assertEqual(indices, list(range(len(indices))), f"seed {seed}")
        self.assertEqual(attempts, sorted(attempts), f"seed {seed}: crossed")
        if isinstance(world.result, Finish):
            self.assertEqual(len(indices), world.token_count, f"seed {seed}: cut off")
            self.assertGreater(world.runs, 0, f"seed {seed}")

    def _check_refusal(self, seed: int, world: World) -> None:
        if not isinstance(world.result, Refuse):
            return
        run = world.result.refusal.run
        if run is Run.NO:
            self.assertEqual(world.runs, 0, f"seed {seed}: false refusal")
        if run is Run.YES:
            self.assertGreater(world.runs, 0, f"seed {seed}: false refusal")
