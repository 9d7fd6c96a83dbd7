"""Tests of store reads that a peer relays."""

from __future__ import annotations

import unittest
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.gateway.plans import PLAN_KIND
from agatehoist.gateway.store_relay import Relay
from agatehoist.gateway.topics import TOPICS
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.server import ServerConnection
from agatehoist.platform.store import RELAY_AFTER_S, PlatformStore
from agatehoist.storage.errors import PlatformUnavailableError
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from standins.users_platform.loopback import HOST, listen_on_loopback

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel

# Nothing listens on this address, as if this host couldn't reach the store.
UNREACHABLE = Address(HOST, 9)
# Each read first waits for the store itself in vain.
KNOWN_WITHIN_S = 3.5


class RelayTests(unittest.TestCase):
    # A stranger is a peer that isn't registered as a node.
    @parameterized.expand(
        [
            ("registered", True, False, ["main"]),
            ("stranger", False, False, None),
            ("store_down_for_the_peer", True, True, None),
        ]
    )
    def test_relayed_reads(
        self, _name: str, registered: bool, down: bool, expected: list[str] | None
    ) -> None:
        world = GatewayHarness()
        found: list[str] | None = None

        async def run() -> None:
            nonlocal found
            async with (
                running_gateway(world),
                listen_on_loopback(Relay(world.state).serve) as port,
            ):
                if registered:
                    world.state.set_nodes(frozenset({Address(HOST, 1)}))
                world.store.down = down
                store = PlatformStore(UNREACHABLE, SystemClock())
                store.relays = lambda: [Address(HOST, port)]
                with self.assertRaises(PlatformUnavailableError):
                    await store.list("config")
                await anyio.sleep(RELAY_AFTER_S)
                try:
                    listing = await store.list("config")
                except PlatformUnavailableError:
                    return
                found = [each.name for each in listing.values]

        anyio.run(run)
        self.assertEqual(found, expected)

    def test_changes_stay_known_while_only_a_peer_reaches_the_store(self) -> None:
        world, peer = GatewayHarness(), GatewayHarness()
        peer.store = world.store

        async def run() -> list[bool]:
            async with (
                running_gateway(peer),
                running_gateway(world),
                listen_on_loopback(Relay(peer.state).serve) as relay_port,
                listen_on_loopback(_never_answer) as mute_port,
            ):
                peer.state.set_nodes(frozenset({Address(HOST, 1)}))
                store, feed = world.state.store, world.state.feed
                store.relays = lambda: [Address(HOST, relay_port)]
                store.set_address(HOST, mute_port)
                world.store.abort_watches()
                known = []
                for number in range(3):
                    stored = world.store.put(PLAN_KIND, f"plan-{number}", {})
                    await anyio.sleep(KNOWN_WITHIN_S)
                    revision = stored["Metadata"]["Revision"]
                    known.append(feed.revisions_by_topic["plans"].number >= revision)
                return known

        self.assertEqual(anyio.run(run), [True] * 3)

    def test_watch_on_a_dead_path_is_renewed_as_soon_as_other_calls_fail(self) -> None:
        """Topics that are answered through a peer are never lost."""
        world, peer = GatewayHarness(), GatewayHarness()
        peer.store = world.store

        async def run() -> bool:
            async with (
                running_gateway(peer),
                running_gateway(world),
                listen_on_loopback(Relay(peer.state).serve) as relay_port,
                listen_on_loopback(_never_answer) as mute_port,
            ):
                peer.state.set_nodes(frozenset({Address(HOST, 1)}))
                topics = len(list(TOPICS))
                await until(lambda: world.store.pending_watches == 2 * topics)
                # From now on nothing reaches this gateway directly.
                world.store.silence_watches(PLAN_KIND)
                store, feed = world.state.store, world.state.feed
                store.relays = lambda: [Address(HOST, relay_port)]
                store.set_address(HOST, mute_port)
                with suppress(PlatformUnavailableError):
                    await store.list("config")
                stored = world.store.put(PLAN_KIND, "plan", {})
                await anyio.sleep(KNOWN_WITHIN_S)
                revision = stored["Metadata"]["Revision"]
                return feed.revisions_by_topic["plans"].number >= revision

        self.assertTrue(anyio.run(run))

    def test_read_is_relayed_though_the_peer_closes_a_kept_connection(self) -> None:
        world = GatewayHarness()

        async def run() -> list[bool]:
            async with (
                running_gateway(world),
                listen_on_loopback(partial(_close_kept, world)) as relay_port,
            ):
                world.state.set_nodes(frozenset({Address(HOST, 1)}))
                store = PlatformStore(UNREACHABLE, SystemClock())
                store.relays = lambda: [Address(HOST, relay_port)]
                with suppress(PlatformUnavailableError):
                    await store.list("config")
                await anyio.sleep(RELAY_AFTER_S)
                return [bool((await store.list("config")).values) for _ in range(4)]

        self.assertEqual(anyio.run(run), [True] * 4)


async def _close_kept(world: GatewayHarness, channel: Channel) -> None:
    """Relay one read, then reset the connection when another one arrives."""
    relay = Relay(world.state)
    connection = ServerConnection(channel, world.state.clock, world.state.limits)
    request = await connection.next_request(lambda: None)
    assert request is not None
    reply = await relay._answer(request)
    await connection.send_reply(reply.head.status, reply.head.headers, reply.body)
    with suppress(ConnectionFailedError):
        await channel.receive()
    channel.abort()


async def _never_answer(channel: Channel) -> None:
    with suppress(ConnectionFailedError):
        while await channel.receive():
            pass
