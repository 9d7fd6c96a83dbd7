"""Tests of which connections are closed when a process has too many."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.http1.connection_choice import OpenConnection, Phase, closable

NOW = 100.0
IDLE, READING, SERVING = Phase.IDLE, Phase.READING, Phase.SERVING
# Host, phase and age in seconds of each connection.
Connection = tuple[str, Phase, float]


class ClosableTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("idlest", [("a", IDLE, 1), ("a", IDLE, 9), ("a", IDLE, 5)], [1, 2, 0]),
            ("idle_before_slow", [("a", READING, 9), ("a", IDLE, 1)], [1, 0]),
            (
                "host_with_most",
                [("a", IDLE, 9), ("b", READING, 1), ("b", IDLE, 0.6)],
                [2, 1, 0],
            ),
            ("served_ones_stay", [("a", SERVING, 99)], []),
            ("new_ones_stay", [("a", IDLE, 0.4), ("a", IDLE, 0.6)], [1]),
            ("new_heads_stay", [("a", READING, 0.4), ("a", READING, 0.6)], [1]),
        ]
    )
    def test_ordinary_callers_keep_their_connections(
        self, _name: str, held: list[Connection], expected: list[int]
    ) -> None:
        connections = [
            OpenConnection(number, host, phase, NOW - age_s)
            for number, (host, phase, age_s) in enumerate(held)
        ]
        found = [each.number for each in closable(connections, NOW)]
        self.assertEqual(found, expected)
