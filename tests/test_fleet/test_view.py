"""Tests of the local view of the endpoint entries."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.fleet.types import Endpoint
from agatehoist.fleet.view import STORE_RETURN_GRACE_S, EndpointsView
from agatehoist.storage.revisions import Revision

ENDPOINT = Endpoint("e1", "songs", "10.0.0.1", 80, "dc1", 64, False, 1, {"m": 1})


def names(view: EndpointsView, now: float) -> list[str]:
    """Return the names of the endpoints that get new work."""
    return [each.name for each in view.serving("songs", now)]


class EndpointsViewTests(unittest.TestCase):
    def setUp(self) -> None:
        self.view = EndpointsView()
        self.view.put(ENDPOINT)

    def test_leaving_endpoint_gets_no_new_work(self) -> None:
        self.view.put(replace(ENDPOINT, leaving=True))
        self.assertEqual(names(self.view, 0.0), [])

    def test_removed_endpoint_is_dropped_at_once(self) -> None:
        self.view.remove("e1", 10.0)
        self.assertEqual(names(self.view, 10.0), [])

    @parameterized.expand(
        [
            (0.0, ["e1"]),
            (STORE_RETURN_GRACE_S - 0.1, ["e1"]),
            (STORE_RETURN_GRACE_S + 0.1, []),
        ]
    )
    def test_missing_entries_are_kept_for_a_while_after_an_outage(
        self, after_s: float, expected: list[str]
    ) -> None:
        self.view.start_grace_period(10.0)
        self.view.replace((), Revision(0, 5), 10.0)
        self.assertEqual(names(self.view, 10.0 + after_s), expected)

    def test_entry_that_returns_in_time_is_kept(self) -> None:
        self.view.start_grace_period(10.0)
        self.view.replace((), Revision(0, 5), 10.0)
        self.view.put(ENDPOINT)
        self.assertEqual(names(self.view, 20.0), ["e1"])

    def test_restarted_endpoint_loses_its_observed_weights_versions(self) -> None:
        self.view.note_version(ENDPOINT, "m", 4)
        self.assertEqual(self.view.version_of(ENDPOINT, "m"), 4)
        restarted = replace(ENDPOINT, started_ms=2)
        self.view.put(restarted)
        self.assertEqual(self.view.version_of(restarted, "m"), 1)
