"""Tests of the load and the estimated wait at an endpoint."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.fleet.load import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    PEER_REPORT_MAX_AGE_S,
    EndpointWork,
    Load,
    changed_loads,
)
from agatehoist.protocol.endpoint_rates import RunSizes
from agatehoist.protocol.node_reports import EndpointLoad, NodeReport, endpoint_key

NOW = 50.0


def report(
    started_ms: int, sequence: int, unprocessed_tokens: int, whole: bool = True
) -> NodeReport:
    """Return a peer's report of its load on one endpoint."""
    loads = {endpoint_key("e@1"): EndpointLoad(0, unprocessed_tokens)}
    return NodeReport("peer", started_ms, sequence, whole, loads)


class LoadTests(unittest.TestCase):
    def test_unread_tokens_count_until_prefill_is_done(self) -> None:
        load = Load()
        with load.track("e@1", 8000) as tracked:
            # Slightly less than 8000 / DEFAULT_PREFILL_TOKENS_PER_S.
            self.assertGreater(load.wait_s("e@1", NOW), 8000 / 41_000)
            tracked.note_prefill_done()
            self.assertLess(load.wait_s("e@1", NOW), 0.01)
            self.assertEqual(load.runs("e@1", NOW), 1)
        self.assertEqual(load.wait_s("e@1", NOW), 0.0)
        self.assertEqual(load.snapshot(), {})

    @parameterized.expand(
        [
            ("newer", [(1, 1, 100), (1, 2, 200)], 200),
            ("older_comes_late", [(1, 2, 200), (1, 1, 100)], 200),
            ("repeated", [(1, 2, 200), (1, 2, 300)], 200),
            ("restarted", [(1, 9, 200), (2, 1, 300)], 300),
        ]
    )
    def test_newest_report_counts(
        self, _name: str, reports: list[tuple[int, int, int]], tokens: int
    ) -> None:
        load = Load()
        for started_ms, sequence, unread in reports:
            load.accept_report(report(started_ms, sequence, unread), NOW)
        expected = tokens / DEFAULT_PREFILL_TOKENS_PER_S
        self.assertAlmostEqual(load.wait_s("e@1", NOW), expected)
        self.assertEqual(load.wait_s("e@1", NOW + PEER_REPORT_MAX_AGE_S + 0.1), 0.0)

    # Only a report of changes (`whole` is false) keeps the load of such an endpoint.
    @parameterized.expand(
        [
            ("kept", (1, 2, False), 200),
            ("whole_report", (1, 2, True), 0),
            ("restarted", (2, 1, False), 0),
        ]
    )
    def test_endpoint_left_out_of_a_report(
        self, _name: str, second: tuple[int, int, bool], tokens: int
    ) -> None:
        load = Load()
        load.accept_report(report(1, 1, 200), NOW)
        started_ms, sequence, whole = second
        load.accept_report(NodeReport("peer", started_ms, sequence, whole, {}), NOW)
        expected = tokens / DEFAULT_PREFILL_TOKENS_PER_S
        self.assertAlmostEqual(load.wait_s("e@1", NOW), expected)

    def test_memory_of_runs_counts_until_their_end(self) -> None:
        load = Load()
        with load.track("e@1", 2890, RunSizes(2900, 6300)) as tracked:
            tracked.note_prefill_done()
            work = load.work("e@1", NOW)
            self.assertEqual((work.own_tokens, work.shared_tokens), (2900, 6300))
        self.assertEqual(load.work("e@1", NOW), EndpointWork())

    # Case, the size that the peer told of its runs, and what its three runs hold. A
    # peer of the release before tells none.
    @parameterized.expand(
        [("told", RunSizes(600, 100), 1800), ("not_told", None, 3 * 2900)]
    )
    def test_runs_of_peers_hold_memory_too(
        self, _name: str, told: RunSizes | None, own_tokens: int
    ) -> None:
        load = Load()
        for _ in range(50):
            load.track("other@1", 0, RunSizes(2900, 6300)).end()
        loads = {endpoint_key("e@1"): EndpointLoad(3, 0)}
        load.accept_report(NodeReport("peer", 1, 1, True, loads), NOW)
        if told is not None:
            load.accept_run_sizes("peer", told)
        found = load.work("e@1", NOW).own_tokens
        self.assertAlmostEqual(found, own_tokens, delta=0.02 * own_tokens)
        later = NOW + PEER_REPORT_MAX_AGE_S + 0.1
        self.assertEqual(load.work("e@1", later), EndpointWork())

    @parameterized.expand(
        [
            ("nothing", {"a": 1}, {"a": 1}, {}),
            ("more", {"a": 1}, {"a": 2}, {"a": 2}),
            ("new", {}, {"a": 1}, {"a": 1}),
            ("ended", {"a": 1, "b": 1}, {"b": 1}, {"a": 0}),
        ]
    )
    def test_changed_loads(
        self,
        _name: str,
        before: dict[str, int],
        after: dict[str, int],
        expected: dict[str, int],
    ) -> None:
        found, known, expected_loads = (
            {endpoint_key(name): EndpointLoad(runs, 0) for name, runs in each.items()}
            for each in (after, before, expected)
        )
        self.assertEqual(changed_loads(known, found), expected_loads)
