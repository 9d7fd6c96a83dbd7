"""Tests of the decisions of the gossip protocol."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from agatehoist.gossip.decisions import (
    FAN_OUT_ANY_REGION,
    FAN_OUT_IN_REGION,
    ROUND_INTERVAL_S,
    ROUNDS_PER_VERSION,
    SUBSCRIBER_RETENTION_S,
    TRANSFER_TIMEOUT_S,
    UNRESPONSIVE_RETRY_S,
    GossipState,
)
from agatehoist.gossip.types import Answer, Item
from bench.gossip_simulation import FleetParameters, GossipSimulation

HOSTS = [f"host-{index}" for index in range(40)]


def item(version: int, topic: str = "configuration") -> Item:
    """Return an item of a version."""
    return Item(topic, version, b"payload")


def gossip(members: list[str] = HOSTS, seed: int = 1) -> GossipState:
    """Return the gossip state of a process that knows the members."""
    made = GossipState("own", random.Random(seed))
    made.set_members(members, members[:20])
    made.due_contacts(0.0)
    return made


class VersionTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("higher", [4, 5], 5, [True, True]),
            ("lower_after_restart_of_a_peer", [5, 4], 5, [True, False]),
            ("same_again", [5, 5], 5, [True, False]),
            ("old_read_between", [5, 3, 6, 4], 6, [True, False, True, False]),
        ]
    )
    def test_only_a_higher_version_replaces_an_item(
        self, _name: str, versions: list[int], kept: int, taken: list[bool]
    ) -> None:
        node = gossip()
        found = [node.accept(item(version), 0.0) for version in versions]
        self.assertEqual((node.version("configuration"), found), (kept, taken))

    @parameterized.expand(
        [
            ("peer_lacks_it", {}, Answer((item(5),), ())),
            ("peer_is_behind", {"configuration": 4}, Answer((item(5),), ())),
            ("same", {"configuration": 5}, Answer((), ())),
            ("peer_is_ahead", {"configuration": 6}, Answer((), ("configuration",))),
            ("other_topic", {"configuration": 5, "x": 1}, Answer((), ("x",))),
        ]
    )
    def test_answer_has_what_the_peer_lacks_and_requests_what_it_has(
        self, _name: str, versions: dict, expected: Answer
    ) -> None:
        node = gossip()
        node.accept(item(5), 0.0)
        self.assertEqual(node.answer(versions, 0.0), expected)

    def test_payload_is_requested_once_until_the_transfer_times_out(self) -> None:
        node = gossip()
        wanted = [
            node.answer({"configuration": 2}, now).wanted
            for now in (0.0, 0.1, TRANSFER_TIMEOUT_S)
        ]
        self.assertEqual(wanted, [("configuration",), (), ("configuration",)])


class ContactTests(unittest.TestCase):
    def test_contacts_in_the_rounds_after_a_new_version(self) -> None:
        node = gossip()
        node.accept(item(1), 1.0)
        times = [1.0 + index * ROUND_INTERVAL_S for index in range(ROUNDS_PER_VERSION)]
        counts = [len(node.due_contacts(now)) for now in times]
        for count in counts:
            # The same process may be chosen in its region and among all members.
            self.assertIn(
                count,
                range(FAN_OUT_ANY_REGION, FAN_OUT_IN_REGION + FAN_OUT_ANY_REGION + 1),
            )
        self.assertGreater(node.next_due_at(), times[-1] + ROUND_INTERVAL_S)

    @parameterized.expand(
        [
            ("in_time", SUBSCRIBER_RETENTION_S - 1, True),
            ("gone", SUBSCRIBER_RETENTION_S, False),
        ]
    )
    def test_subscribers_are_contacted_until_their_subscription_expires(
        self, _name: str, at: float, expected: bool
    ) -> None:
        node = gossip()
        node.add_subscriber("router-9", 0.0)
        node.accept(item(1), at)
        self.assertEqual("router-9" in node.due_contacts(at), expected)

    @parameterized.expand(
        [("avoided", 1.0, False), ("tried_again", UNRESPONSIVE_RETRY_S, True)]
    )
    def test_unresponsive_members_are_avoided_for_a_while(
        self, _name: str, at: float, expected: bool
    ) -> None:
        node = gossip(["host-1", "host-2"])
        node.mark_unresponsive("host-1", 0.0)
        node.accept(item(1), at)
        chosen = node.due_contacts(at)
        self.assertEqual("host-1" in chosen, expected)
        self.assertIn("host-2", chosen)

    def test_one_is_contacted_when_all_are_unresponsive(self) -> None:
        node = gossip(["host-1", "host-2"])
        node.mark_unresponsive("host-1", 0.0)
        node.mark_unresponsive("host-2", 0.0)
        node.accept(item(1), 1.0)
        self.assertGreaterEqual(len(node.due_contacts(1.0)), 1)


class PropagationTests(unittest.TestCase):
    @parameterized.expand([(1, 0.0), (2, 0.1), (3, 0.3)])
    def test_new_version_reaches_all_processes_within_four_seconds(
        self, seed: int, loss: float
    ) -> None:
        fleet = GossipSimulation(FleetParameters(300, loss=loss, seed=seed))
        fleet.run_until(5)
        fleet.publish(1)
        fleet.run_until(9)
        self.assertEqual(_processes_behind(fleet, 1), [])

    def test_isolated_region_catches_up_after_the_partition(self) -> None:
        fleet = GossipSimulation(FleetParameters(200, seed=4))
        fleet.isolated_regions = frozenset({"region1"})
        fleet.publish(1)
        fleet.run_until(60)
        regions = {node.entry.region for node in _processes_behind(fleet, 1)}
        self.assertEqual(regions, {"region1"})
        fleet.isolated_regions = frozenset()
        fleet.run_until(64)
        self.assertEqual(_processes_behind(fleet, 1), [])

    def test_loss_of_a_data_centre_leaves_only_its_processes_behind(self) -> None:
        fleet = GossipSimulation(FleetParameters(200, seed=5, loss=0.05))
        fleet.isolated_data_centres = frozenset({"dc3"})
        fleet.run_until(20)
        fleet.publish(1)
        fleet.run_until(24)
        data_centres = {node.entry.data_centre for node in _processes_behind(fleet, 1)}
        self.assertEqual(data_centres, {"dc3"})


def _processes_behind(fleet: GossipSimulation, version: int) -> list:
    return [
        node
        for node in fleet.nodes_by_host.values()
        if node.gossip.version("configuration") < version
    ]
