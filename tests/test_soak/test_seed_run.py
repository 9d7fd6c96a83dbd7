"""Short runs of the soak with fixed seeds."""

from __future__ import annotations

import unittest
from functools import partial

import anyio
from parameterized import parameterized

from soak.seed_run import run_seed

FAULT_DURATION_S = 4.0
GATEWAY_COUNT = 2


class SeedRunTests(unittest.TestCase):
    @parameterized.expand([(1,), (2,)])
    def test_no_invariant_is_violated(self, seed: int) -> None:
        result = anyio.run(partial(run_seed, seed, FAULT_DURATION_S, GATEWAY_COUNT))
        self.assertEqual(result.violations, ())
        self.assertGreater(result.requests_by_status.get(200, 0), 100)
