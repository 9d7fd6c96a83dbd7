"""Tests of the beliefs about endpoints."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.fleet.types import Endpoint
from agatehoist.fleet.view import RETURN_GRACE_S, FleetView

ENDPOINT = Endpoint("e1", "songs", "10.0.0.1", 80, "dc1", 64, False, 1, {"m": 1})


def names(view: FleetView, now: float) -> list[str]:
    """Return the names of those that get new work."""
    return [each.name for each in view.serving("songs", now)]


class FleetViewTests(unittest.TestCase):
    def setUp(self) -> None:
        self.view = FleetView()
        self.view.put(ENDPOINT)

    def test_a_leaving_endpoint_gets_no_new_work(self) -> None:
        self.view.put(replace(ENDPOINT, leaving=True))
        self.assertEqual(names(self.view, 0.0), [])

    def test_a_removed_endpoint_is_gone_at_once(self) -> None:
        self.view.remove("e1", 10.0)
        self.assertEqual(names(self.view, 10.0), [])

    @parameterized.expand(
        [(0.0, ["e1"]), (RETURN_GRACE_S - 0.1, ["e1"]), (RETURN_GRACE_S + 0.1, [])]
    )
    def test_after_an_outage_entries_have_time_to_return(
        self, after_s: float, expected: list[str]
    ) -> None:
        self.view.note_store_returned(10.0)
        self.view.replace((), 5, 10.0)
        self.assertEqual(names(self.view, 10.0 + after_s), expected)

    def test_an_entry_that_returns_in_time_stays(self) -> None:
        self.view.note_store_returned(10.0)
        self.view.replace((), 5, 10.0)
        self.view.put(ENDPOINT)
        self.assertEqual(names(self.view, 20.0), ["e1"])

    def test_a_new_lifetime_forgets_the_weights_seen(self) -> None:
        self.view.note_version(ENDPOINT, "m", 4)
        self.assertEqual(self.view.version_of(ENDPOINT, "m"), 4)
        reborn = replace(ENDPOINT, born_ms=2)
        self.view.put(reborn)
        self.assertEqual(self.view.version_of(reborn, "m"), 1)
