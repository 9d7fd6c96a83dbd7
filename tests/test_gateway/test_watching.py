"""Tests of what a gateway knows while the store misbehaves."""

from __future__ import annotations

import unittest

import anyio

from agatehoist.gateway.topics import TOPICS
from standins.users_platform.world import World, configuration, running, until

# A configuration is to be in force within this time of its acknowledgement.
IN_FORCE_S = 2.0


class WatchTests(unittest.TestCase):
    def test_a_watch_asked_while_the_history_goes(self) -> None:
        """A watch may be accepted and then hear nothing of what is gone."""
        world = World()

        async def run() -> int:
            async with running(world):
                topics = len(list(TOPICS))
                # A watch that isn't there yet can't be cut.
                await until(lambda: world.store.watches_waiting == topics)
                world.store.misses_watches = topics
                world.store.cut_watches()
                await until(lambda: not world.store.misses_watches)
                world.store.put("config", "main", configuration(version=4))
                world.store.forget_history()
                await anyio.sleep(IN_FORCE_S)
                assert world.state.table is not None
                return world.state.table.version

        self.assertEqual(anyio.run(run), 4)
