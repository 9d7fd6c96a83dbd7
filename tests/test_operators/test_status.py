"""Tests of the merging and formatting of the fleet's status."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.operators.status import (
    EndpointView,
    RouterStatus,
    merge_status,
    status_lines,
)
from agatehoist.orders.types import Failure, Lease, Ledger, Rollout

VIEW = EndpointView("host-1", "engine", "songs", "dc1", "live", False, False)
ROUTER = RouterStatus(
    "router-1", "dc1", 7, True, False, 2, 100.0, 200.0, (VIEW,), {"hosts": 50}
)
# The target is version 2 of the weights without adapters, roll-out attempt 1.
LEASE = Lease("host-1", "o", 1, "songs", "songs", "2+#1", 300.0)
ROLLOUT = Rollout("2+#1", 7, 3, (Failure("host-2", "o", "no such version"),))

STATES = [
    ("behind", replace(ROUTER, node="b", revision=6), "b  dc1  ready, behind at"),
    ("not_ready", replace(ROUTER, node="b", ready=False), "b  dc1  not ready"),
    ("leaving", replace(ROUTER, node="b", leaving=True), "ready, leaving  2 in flight"),
    (
        "endpoint_leaves",
        replace(ROUTER, node="b", endpoints=(replace(VIEW, leaving=True),)),
        "live, says it leaves to 1 routers",
    ),
    (
        "endpoint_suspected",
        replace(ROUTER, node="b", endpoints=(replace(VIEW, suspected=True),)),
        "live, suspected by 1 routers",
    ),
    ("calls", replace(ROUTER, node="b"), "hosts  1.00 of 1"),
]


class StatusTests(unittest.TestCase):
    @parameterized.expand(STATES)
    def test_lines_show_states_and_platform_calls(
        self, _name: str, router: RouterStatus, expected: str
    ) -> None:
        lines = status_lines(merge_status([router, ROUTER]))
        self.assertIn(expected, "\n".join(lines))

    def test_lines_show_weight_loads_and_failed_rollouts(self) -> None:
        ledger = Ledger((LEASE,), {"songs": ROLLOUT})
        text = "\n".join(status_lines(merge_status([ROUTER], ledger)))
        self.assertIn("1 weight loads run\n  host-1 to 2+#1", text)
        self.assertIn("3 loaded  failed on host-2: no such version", text)
