"""Tests of the checks that the soak makes."""

from __future__ import annotations

import math
import unittest

from parameterized import parameterized

from soak.invariants import check_all
from soak.types import Change, Seen, Sent

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHANGES = (Change(1, 0.0), Change(2, 10.0), Change(3, 20.0))


def seen(
    kind: str,
    status: int = 200,
    body: bytes = b"r1 by e",
    whole: bool = True,
    at: float = 5.0,
    path_version: int = 1,
    undisturbed_since: float = 0.0,
) -> Seen:
    """Return what came back for the request r1."""
    sent = Sent("r1", kind, path_version, "g", at, undisturbed_since)
    return Seen(sent, status, body, whole, at + 0.1)


class PromiseTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("call", seen("look"), 1, []),
            ("repeated_call", seen("look"), 2, []),
            ("call_run_twice", seen("post"), 2, ["once"]),
            ("stream_run_twice", seen("credit", body=STREAM), 2, ["once"]),
            ("resumed_stream", seen("trace", body=STREAM), 2, []),
            ("refused", seen("post", 503, b""), 0, []),
            ("untrue_refusal", seen("post", 503, b""), 1, ["true"]),
            ("unknown_outcome", seen("post", 502, b""), 1, []),
            ("others_answer", seen("look", body=b"r2 by e"), 1, ["whole"]),
            ("broken_call", seen("look", body=b"r", whole=False), 1, []),
            ("broken_stream", seen("trace", body=STREAM[:15], whole=False), 1, []),
            ("ended_early", seen("trace", body=STREAM[:15]), 1, ["whole"]),
            ("gap", seen("trace", body=STREAM[15:], whole=False), 1, ["whole"]),
        ]
    )
    def test_answers(
        self, _name: str, answer: Seen, runs: int, expected: list[str]
    ) -> None:
        broken = check_all([answer], ["r1"] * runs, CHANGES, STREAM)
        self.assertEqual([each.promise for each in broken], expected)

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
    def test_configuration_in_force(
        self,
        _name: str,
        at: float,
        path_version: int,
        undisturbed_since: float,
        expected: bool,
    ) -> None:
        answer = seen(
            "look",
            404,
            b"",
            at=at,
            path_version=path_version,
            undisturbed_since=undisturbed_since,
        )
        broken = check_all([answer], [], CHANGES, STREAM)
        self.assertEqual([each.promise for each in broken], ["in force"] * expected)
