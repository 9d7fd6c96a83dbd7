"""Tests of the local view of the endpoint entries."""

from __future__ import annotations

import unittest
from dataclasses import replace

from parameterized import parameterized

from agatehoist.fleet.types import Endpoint
from agatehoist.fleet.view import (
    ENDED_DOUBT_S,
    EndpointsView,
)
from agatehoist.storage.outages import OUTAGE_GRACE_S
from agatehoist.storage.revisions import Revision

ENDPOINT = Endpoint("e1", "songs", "10.0.0.1", 80, "dc1", 64, False, 1, {"m": 1})


def names(view: EndpointsView, now: float) -> list[str]:
    """Return the names of the endpoints that get new work."""
    return [each.name for each in view.serving("songs", now)]


class EndpointsViewTests(unittest.TestCase):
    def setUp(self) -> None:
        self.view = EndpointsView()
        self.view.put(ENDPOINT, 0.0)

    def test_leaving_endpoint_gets_no_new_work(self) -> None:
        self.view.put(replace(ENDPOINT, leaving=True), 0.0)
        self.assertEqual(names(self.view, 0.0), [])

    def test_removed_endpoint_is_dropped_at_once(self) -> None:
        self.view.remove("e1", 10.0)
        self.assertEqual(names(self.view, 10.0), [])

    @parameterized.expand(
        [
            (0.0, ["e1"]),
            (OUTAGE_GRACE_S - 0.1, ["e1"]),
            (OUTAGE_GRACE_S + 0.1, []),
        ]
    )
    def test_missing_entries_are_kept_for_a_while_after_an_outage(
        self, after_s: float, expected: list[str]
    ) -> None:
        self.view.keep_missing_until(10.0 + OUTAGE_GRACE_S)
        self.view.replace((), Revision(0, 5), 10.0)
        self.assertEqual(names(self.view, 10.0 + after_s), expected)

    def test_entry_that_returns_in_time_is_kept(self) -> None:
        self.view.keep_missing_until(10.0 + OUTAGE_GRACE_S)
        self.view.replace((), Revision(0, 5), 10.0)
        self.view.put(ENDPOINT, 0.0)
        self.assertEqual(names(self.view, 20.0), ["e1"])

    def test_restarted_endpoint_loses_its_observed_weights_versions(self) -> None:
        self.view.note_version(ENDPOINT, "m", 4)
        self.assertEqual(self.view.version_of(ENDPOINT, "m"), 4)
        restarted = replace(ENDPOINT, started_ms=2)
        self.view.put(restarted, 0.0)
        self.assertEqual(self.view.version_of(restarted, "m"), 1)


class RestoredStoreTests(unittest.TestCase):
    def setUp(self) -> None:
        self.view = EndpointsView()
        self.view.replace((ENDPOINT,), Revision(1, 50), 0.0)

    def restore(self, *endpoints: Endpoint) -> None:
        """Read the first list after the store has come back from an older copy."""
        self.view.replace(endpoints, Revision(2, 40), 10.0)

    def test_endpoint_that_was_leaving_does_not_come_back_as_ready(self) -> None:
        self.view.put(replace(ENDPOINT, leaving=True), 1.0)
        self.restore(ENDPOINT)
        self.assertEqual(names(self.view, 10.0), [])

    # Times after the restore, whether the endpoint writes its entry again, and what
    # serves.
    @parameterized.expand(
        [
            ("gone", 1.0, False, []),
            ("back", 1.0, True, ["e1"]),
            ("still_listed", ENDED_DOUBT_S + 0.1, False, ["e1"]),
        ]
    )
    def test_endpoint_that_had_ended_serves_once_it_is_sure_to_live(
        self, _name: str, after_s: float, writes: bool, expected: list[str]
    ) -> None:
        self.view.remove("e1", 1.0)
        self.assertEqual(names(self.view, 2.0), [])
        self.restore(ENDPOINT)
        if writes:
            self.view.put(ENDPOINT, 10.5)
        self.assertEqual(names(self.view, 10.0 + after_s), expected)

    def test_earlier_lifetime_does_not_replace_a_later_one(self) -> None:
        restarted = replace(ENDPOINT, started_ms=2)
        self.view.put(restarted, 1.0)
        self.restore(ENDPOINT)
        self.assertEqual(self.view.by_name["e1"], restarted)
        self.assertEqual(names(self.view, 10.0), ["e1"])

    def test_weights_of_a_lifetime_do_not_go_back(self) -> None:
        self.view.put(replace(ENDPOINT, versions_by_model={"m": 2}), 1.0)
        self.restore(ENDPOINT)
        self.assertEqual(self.view.version_of(self.view.by_name["e1"], "m"), 2)
