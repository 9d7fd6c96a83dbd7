"""Tests of the soak's invariant checks."""

from __future__ import annotations

import math
import unittest

from parameterized import parameterized

from soak.invariants import find_violations
from soak.types import ConfigurationChange, RequestResult, SentRequest

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHANGES = (
    ConfigurationChange(1, 0.0),
    ConfigurationChange(2, 10.0),
    ConfigurationChange(3, 20.0),
)


def make_result(
    route: str,
    status: int = 200,
    body: bytes = b"r1 by e",
    complete: bool = True,
    sent_at: float = 5.0,
    path_version: int = 1,
    fault_free_since: float = 0.0,
) -> RequestResult:
    """Return the result of the request r1."""
    sent = SentRequest("r1", route, path_version, "g", sent_at, fault_free_since)
    return RequestResult(sent, status, body, complete, sent_at + 0.1)


class InvariantTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("call", make_result("look"), 1, []),
            ("repeated_call", make_result("look"), 2, []),
            ("call_run_twice", make_result("post"), 2, ["once"]),
            ("stream_run_twice", make_result("credit", body=STREAM), 2, ["once"]),
            ("resumed_stream", make_result("trace", body=STREAM), 2, []),
            ("refused", make_result("post", 503, b""), 0, []),
            ("untrue_refusal", make_result("post", 503, b""), 1, ["true"]),
            ("unknown_outcome", make_result("post", 502, b""), 1, []),
            ("others_answer", make_result("look", body=b"r2 by e"), 1, ["whole"]),
            ("broken_call", make_result("look", body=b"r", complete=False), 1, []),
            (
                "broken_stream",
                make_result("trace", body=STREAM[:15], complete=False),
                1,
                [],
            ),
            ("ended_early", make_result("trace", body=STREAM[:15]), 1, ["whole"]),
            (
                "gap",
                make_result("trace", body=STREAM[15:], complete=False),
                1,
                ["whole"],
            ),
        ]
    )
    def test_result_violates_expected_invariants(
        self, _name: str, result: RequestResult, runs: int, expected: list[str]
    ) -> None:
        violations = find_violations([result], ["r1"] * runs, CHANGES, STREAM)
        self.assertEqual([each.invariant for each in violations], expected)

    @parameterized.expand(
        [
            ("at_once", 11.0, 2, 0.0, False),
            ("late", 12.1, 2, 0.0, True),
            ("disturbed_lately", 12.1, 2, 11.0, False),
            ("disturbed_now", 19.0, 2, math.inf, False),
            ("disturbed_before", 13.1, 2, 11.0, True),
            ("replaced_since", 20.5, 2, 0.0, False),
        ]
    )
    def test_configuration_is_in_force_within_limit(
        self,
        _name: str,
        sent_at: float,
        path_version: int,
        fault_free_since: float,
        expected: bool,
    ) -> None:
        result = make_result(
            "look",
            404,
            b"",
            sent_at=sent_at,
            path_version=path_version,
            fault_free_since=fault_free_since,
        )
        violations = find_violations([result], [], CHANGES, STREAM)
        self.assertEqual(
            [each.invariant for each in violations], ["in force"] * expected
        )
