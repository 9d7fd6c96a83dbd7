"""Tests of the rendezvous hashing."""

from __future__ import annotations

import unittest

from agatehoist.placement.ranking import rank
from agatehoist.placement.types import Candidate

HOSTS = tuple(Candidate(f"host-{index}", "dc1") for index in range(40))


class RankingTests(unittest.TestCase):
    def test_ranking_ignores_the_order_of_candidates(self) -> None:
        self.assertEqual(rank(b"key", HOSTS, 3), rank(b"key", HOSTS[::-1], 3))

    def test_removed_host_moves_only_its_own_keys(self) -> None:
        moved = 0
        for index in range(500):
            key = f"key-{index}".encode()
            before = rank(key, HOSTS, 1)
            after = rank(key, HOSTS[1:], 1)
            if before[0] != HOSTS[0]:
                self.assertEqual(before, after)
            else:
                moved += 1
        self.assertLess(moved, 40)
