"""Tests of the election of processes that read the platform, and of leaving hosts."""

from __future__ import annotations

import dataclasses
import unittest

from parameterized import parameterized

from agatehoist.core.clock import ManualClock
from agatehoist.membership.departures import LEAVING_RETRY_S
from agatehoist.membership.election import (
    WATCHERS_PER_DATA_CENTRE,
    elected_hosts,
    has_duty,
)
from agatehoist.router.directory import EndpointDirectory
from agatehoist.storage.types import HostEntry, HostState

DUTY = "watch_configuration"


def entries(count: int) -> list[HostEntry]:
    """Return hosts in three data centres."""
    return [
        HostEntry(
            f"host-{index}", "10.0.0.1", 1, f"dc{index % 3}", "r", "engine", "songs"
        )
        for index in range(count)
    ]


class ElectionTests(unittest.TestCase):
    @parameterized.expand([(3,), (30,), (300,), (3000,)])
    def test_number_of_elected_hosts_does_not_grow_with_the_fleet(
        self, size: int
    ) -> None:
        hosts = entries(size)
        elected = [elected_hosts(DUTY, f"dc{index}", hosts) for index in range(3)]
        count = sum(len(each) for each in elected)
        self.assertEqual(count, min(size, 3 * WATCHERS_PER_DATA_CENTRE))

    def test_leaving_host_moves_only_its_own_duty(self) -> None:
        hosts = entries(300)
        before = elected_hosts(DUTY, "dc0", hosts)
        hosts = [
            dataclasses.replace(each, state=HostState.LEAVING)
            if each.host == before[0]
            else each
            for each in hosts
        ]
        after = elected_hosts(DUTY, "dc0", hosts)
        self.assertEqual(after[0], before[1])
        self.assertNotIn(before[0], after)

    # The process itself is on no host list; "dc0" has listed hosts, "dc9" has none.
    @parameterized.expand([("listed", "dc0", False), ("nobody_listed", "dc9", True)])
    def test_duty_of_a_process_missing_from_the_host_list(
        self, _name: str, data_centre: str, expected: bool
    ) -> None:
        found = has_duty(DUTY, "router-1", data_centre, entries(9))
        self.assertEqual(found, expected)


class DepartureTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("at_once", 0.0, False, False),
            ("list_still_lags", LEAVING_RETRY_S - 0.1, False, False),
            ("asked_again", LEAVING_RETRY_S, False, True),
            ("replaced_under_its_name", 0.1, True, True),
        ]
    )
    def test_refusal_of_a_host_overrides_the_host_list(
        self, _name: str, at: float, replaced: bool, expected: bool
    ) -> None:
        clock = ManualClock()
        directory = EndpointDirectory(clock)
        directory.replace(entries(3))
        directory.note_leaving("host-1")
        clock.advance_to(at)
        if replaced:
            directory.replace([each for each in entries(3) if each.host != "host-1"])
            directory.replace(entries(3))
        hosts = {each.host for each in directory.candidates("engine", "songs")}
        self.assertEqual("host-1" in hosts, expected)

    def test_all_hosts_are_candidates_when_all_are_leaving(self) -> None:
        directory = EndpointDirectory(ManualClock())
        directory.replace(entries(3))
        for each in entries(3):
            directory.note_leaving(each.host)
        self.assertEqual(len(directory.candidates("engine", "songs")), 3)
