"""Tests that the placement decisions of replayed sessions match the golden files.

A session is the first requests of a stored trace, with the crash of one host.
"""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.core.work import Priority
from bench.replay.generate import ARCHIVE, COOPERATIVE
from bench.replay.golden import TRACE_NAMES, golden_file, replay_decisions
from bench.replay.trace import load_trace

WORKLOADS = [(each.deployment.name, each) for each in (ARCHIVE, COOPERATIVE)]


class SessionTests(unittest.TestCase):
    maxDiff = 2000

    @parameterized.expand([(name,) for name in TRACE_NAMES])
    def test_decisions_match_the_recorded_ones(self, name: str) -> None:
        expected = golden_file(name).read_text(encoding="utf-8")
        self.assertEqual(replay_decisions(name), expected)

    @parameterized.expand(WORKLOADS)
    def test_stored_trace_matches_its_workload(
        self, name: str, workload: object
    ) -> None:
        trace = load_trace(name)
        self.assertEqual(trace.deployment, workload.deployment)
        self.assertEqual(len({each.organisation for each in trace.requests}), 8)
        self.assertEqual(len(trace.crashes), 2)
        self.assertEqual({each.priority for each in trace.requests}, set(Priority))
