"""Short plays of the soak with seeds of their own."""

from __future__ import annotations

import unittest
from functools import partial

import anyio
from parameterized import parameterized

from soak.seed_run import play

TROUBLE_S = 4.0
GATEWAYS = 2


class PlayTests(unittest.TestCase):
    @parameterized.expand([(1,), (2,)])
    def test_promises_are_kept(self, seed: int) -> None:
        played = anyio.run(partial(play, seed, TROUBLE_S, GATEWAYS))
        self.assertEqual(played.broken, ())
        self.assertGreater(played.requests_by_status.get(200, 0), 100)
