"""Tests of the watched state of a gateway while the store fails."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from agatehoist.gateway.plans import PLAN_KIND
from agatehoist.gateway.topics import TOPICS
from agatehoist.software.shares_topic import SHARES_TOPIC
from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)

# A configuration must be in force within this time of its acknowledgement.
IN_FORCE_S = 2.0
# An endpoint that leaves gets no new requests after this time, DrainMs.
NOTICED_S = 2.0
# Entries that expired in an outage are back within about two seconds.
KEPT_S = 2.0
FORGOTTEN_S = 4.0


def is_watching(world: GatewayHarness) -> bool:
    """Return whether all topics are watched and the gateway's own write is known."""
    shares = world.state.feed.revisions_by_topic[SHARES_TOPIC]
    is_written = bool(world.state.shares.records_by_service)
    return (
        is_written
        and shares.number == world.store.revision
        and world.store.pending_watches == len(list(TOPICS))
    )


class WatchTests(unittest.TestCase):
    # How the watches before the ones that miss the change end.
    @parameterized.expand([("cut", False), ("history_lost", True)])
    def test_configuration_is_applied_although_watches_miss_it(
        self, _name: str, history_lost: bool
    ) -> None:
        """The store may accept a watch and never report changes it has discarded."""
        world = GatewayHarness()

        async def run() -> int:
            async with running_gateway(world):
                topics = len(list(TOPICS))
                # Only watches that are waiting can be closed.
                await until(lambda: is_watching(world))
                # The next watch of each topic is accepted but gets no changes.
                world.store.watches_without_events = topics
                if history_lost:
                    # The change of another kind makes the watched revisions too old.
                    world.store.put("notes", "note", {})
                    world.store.compact_history()
                else:
                    world.store.abort_watches()
                await until(lambda: not world.store.watches_without_events)
                world.store.put("config", "main", configuration(version=4))
                world.store.compact_history()
                await anyio.sleep(IN_FORCE_S)
                assert world.state.table is not None
                return world.state.table.version

        self.assertEqual(anyio.run(run), 4)

    # The kind whose watch waits on a dead connection while another one is cut.
    @parameterized.expand([(PLAN_KIND,), ("servers",), ("versions",)])
    def test_dead_watch_is_renewed_when_another_fails(self, dead_kind: str) -> None:
        world = GatewayHarness()

        async def run() -> int:
            async with running_gateway(world):
                await until(lambda: is_watching(world))
                world.store.silence_watches(dead_kind)
                world.store.abort_watches()
                world.store.put(dead_kind, "new", {})
                await anyio.sleep(IN_FORCE_S)
                feed = world.state.feed
                return min(feed.revisions_by_topic.values()).number

        self.assertEqual(anyio.run(run), world.store.revision)

    # What happens to the store before an entry is removed while it serves.
    @parameterized.expand(
        [("nothing", 0, False), ("cut", 1, False), ("cut_twice", 2, False)]
        + [("history_lost", 0, True), ("cut_and_history_lost", 1, True)]
    )
    def test_endpoint_that_leaves_after_a_cut_watch_gets_no_requests(
        self, _name: str, cuts: int, history_lost: bool
    ) -> None:
        """A cut watch of a store that serves is no outage."""
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                await until(lambda: world.store.pending_watches == len(list(TOPICS)))
                for _ in range(cuts):
                    world.store.abort_watches()
                    await anyio.sleep(0.2)
                if history_lost:
                    world.store.put("notes", "note", {})
                    world.store.compact_history()
                world.store.remove("servers", "engine-0")
                await anyio.sleep(NOTICED_S)
                self.assertNotIn("engine-0", serving(world))

        anyio.run(run)

    # For how long the store is unavailable while an entry expires.
    @parameterized.expand([("short", 1.0), ("long", 3.0)])
    def test_entry_that_expired_in_an_outage_is_kept_for_a_while(
        self, _name: str, down_s: float
    ) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                world.store.down = True
                world.store.abort_watches()
                await anyio.sleep(down_s)
                world.store.remove("servers", "engine-0")
                world.store.down = False
                await anyio.sleep(KEPT_S)
                self.assertIn("engine-0", serving(world))
                await anyio.sleep(FORGOTTEN_S - KEPT_S)
                self.assertNotIn("engine-0", serving(world))

        anyio.run(run)


def serving(world: GatewayHarness) -> list[str]:
    """Return the names of the engines in service."""
    now = world.state.clock.now()
    return [each.name for each in world.state.fleet.serving("engines", now)]
