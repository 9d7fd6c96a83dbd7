"""Tests of gateways that read the store through the ones that watch it."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.gateway.state import GatewayState
from agatehoist.gateway.store_relay import Relay
from agatehoist.gateway.store_roles import StoreRole
from agatehoist.gateway.store_watch import follow_store
from agatehoist.gateway.watchers import (
    MAX_SELF_WATCHING_NODES,
    elect_watchers,
    watchers_to_ask,
)
from agatehoist.platform.adapter import UsersPlatform
from agatehoist.platform.store import PlatformStore
from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from standins.users_platform.loopback import HOST, listen_on_loopback

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from agatehoist.http1.channel import Channel
    from agatehoist.protocol.store_feed import FeedReply, FeedRequest

# A configuration must be in force within this time of its acknowledgement.
IN_FORCE_S = 3.0
# Nothing listens here.
UNREACHABLE = Address(HOST, 9)
FLEET = {
    Address(f"10.{zone}.0.{host}", 7340): f"dc{zone}"
    for zone in range(3)
    for host in range(10)
}


class ElectionTests(unittest.TestCase):
    @parameterized.expand(
        [("alone", 1, 0), ("few", MAX_SELF_WATCHING_NODES, 0), ("many", 30, 3)]
    )
    def test_one_node_a_data_centre_watches(
        self, _name: str, count: int, watchers: int
    ) -> None:
        nodes = dict(list(FLEET.items())[:count])
        elected = elect_watchers(nodes)
        self.assertEqual(len(elected), watchers)
        self.assertEqual(len(set(elected.values())), watchers)
        self.assertEqual(elected, elect_watchers(dict(reversed(nodes.items()))))

    def test_nodes_ask_the_watcher_of_their_data_centre_first(self) -> None:
        elected = elect_watchers(FLEET)
        for node, data_centre in FLEET.items():
            asked = watchers_to_ask(node, data_centre, elected)
            self.assertEqual(elected[asked[0]], data_centre)
            self.assertEqual(len(set(asked)), 3)


class FollowerTests(unittest.TestCase):
    def test_follower_needs_no_calls_while_its_watcher_answers(self) -> None:
        async def run() -> None:
            world = GatewayHarness()
            async with (
                running_gateway(world),
                listen_on_loopback(start_watcher(world)) as port,
                anyio.create_task_group() as task_group,
            ):
                follower = await follow(world, port, task_group, UNREACHABLE)
                self.assertEqual(follower.store_role, StoreRole.FOLLOWER)
                self.assertEqual(follower.fleet.by_name, world.state.fleet.by_name)
                world.store.put("config", "main", configuration(version=4))
                await until(lambda: version(follower) == 4)
                world.store.remove("servers", "engine-0")
                await until(lambda: "engine-0" not in serving(follower))
                task_group.cancel_scope.cancel()

        anyio.run(run)

    # How the watcher fails: its process ends, it answers no more, or it has lost the
    # store.
    @parameterized.expand([("dead",), ("silent",), ("without_the_store",)])
    def test_configuration_is_in_force_although_the_watcher_fails(
        self, failure: str
    ) -> None:
        async def run() -> None:
            world = GatewayHarness()
            async with running_gateway(world), anyio.create_task_group() as task_group:
                relay = start_watcher(world)
                feed = world.state.feed
                async with listen_on_loopback(relay) as port:
                    store = world.state.settings.store
                    follower = await follow(world, port, task_group, store)
                    if failure == "silent":
                        feed.read = sleep_on  # type: ignore[method-assign]
                    if failure == "without_the_store":
                        feed.stop_serving()
                    if failure != "dead":
                        await self._check_change(world, follower)
                await self._check_change(world, follower)
                task_group.cancel_scope.cancel()

        anyio.run(run)

    # How long the store is unavailable to the watcher and the follower while the entry
    # of an engine expires, and whether the engine is still used 1.5 s after its return.
    @parameterized.expand([("outage", 2.6, True), ("no_outage", 0.0, False)])
    def test_follower_keeps_entries_that_expired_in_an_outage_only(
        self, _name: str, down_s: float, is_kept: bool
    ) -> None:
        async def run() -> bool:
            world = GatewayHarness()
            async with (
                running_gateway(world),
                listen_on_loopback(start_watcher(world)) as port,
                anyio.create_task_group() as task_group,
            ):
                store = world.state.settings.store
                follower = await follow(world, port, task_group, store)
                world.store.down = bool(down_s)
                world.store.abort_watches()
                await anyio.sleep(down_s)
                world.store.remove("servers", "engine-0")
                world.store.down = False
                await anyio.sleep(1.5)
                was_used = "engine-0" in serving(follower)
                await anyio.sleep(2.0)
                self.assertNotIn("engine-0", serving(follower))
                task_group.cancel_scope.cancel()
            return was_used

        self.assertEqual(anyio.run(run), is_kept)

    async def _check_change(
        self, world: GatewayHarness, follower: GatewayState
    ) -> None:
        newer = version(follower) + 1
        world.store.put("config", "main", configuration(version=newer))
        with anyio.fail_after(IN_FORCE_S):
            await until(lambda: version(follower) == newer)


async def sleep_on(_request: FeedRequest) -> FeedReply:
    """Never return, as a watcher that is suspended."""
    await anyio.sleep_forever()
    raise AssertionError


def start_watcher(world: GatewayHarness) -> Callable[[Channel], Awaitable[None]]:
    """Make the gateway of the harness a watcher and return its inner server."""
    state = world.state
    state.watchers = {state.settings.inner: "z1"}
    state.nodes = frozenset({Address(HOST, 1)})
    state.nodes_changed.set()

    async def serve(channel: Channel) -> None:
        await until(lambda: state.feed.is_serving(state.clock.now()))
        await Relay(state).serve(channel)

    return serve


async def follow(
    world: GatewayHarness, port: int, task_group: TaskGroup, store: Address
) -> GatewayState:
    """Return the state of a follower that has read everything."""
    settings = replace(
        world.state.settings, inner=Address(HOST, 2), node="n2", store=store
    )
    clock = SystemClock()
    state = GatewayState(
        settings, clock, UsersPlatform(), PlatformStore(store, clock), task_group, 0.0
    )
    state.watchers = {Address(HOST, port): "z1"}
    task_group.start_soon(follow_store, state)
    await until(lambda: state.ready)
    return state


def version(state: GatewayState) -> int:
    """Return the version of the configuration in force."""
    return state.table.version if state.table else 0


def serving(state: GatewayState) -> list[str]:
    """Return the names of the engines in service."""
    return [each.name for each in state.fleet.serving("engines", state.clock.now())]
