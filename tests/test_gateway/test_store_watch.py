"""Tests of the watched state of a gateway while the store fails."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from agatehoist.gateway.plans import PLAN_KIND
from agatehoist.gateway.topics import TOPICS
from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)

# A configuration must be in force within this time of its acknowledgement.
IN_FORCE_S = 2.0


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
                await until(lambda: world.store.pending_watches == topics)
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
                topics = len(list(TOPICS))
                await until(lambda: world.store.pending_watches == topics)
                world.store.silence_watches(dead_kind)
                world.store.abort_watches()
                world.store.put(dead_kind, "new", {})
                await anyio.sleep(IN_FORCE_S)
                feed = world.state.feed
                return min(feed.revisions_by_topic.values()).number

        self.assertEqual(anyio.run(run), world.store.revision)
