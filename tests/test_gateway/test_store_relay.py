"""Tests of store reads that a peer relays."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.clock import SystemClock
from agatehoist.gateway.store_relay import Relay
from agatehoist.platform.store import RELAY_AFTER_S, PlatformStore
from agatehoist.storage.errors import PlatformUnavailableError
from standins.users_platform.harness import GatewayHarness, running_gateway
from standins.users_platform.loopback import HOST, listen_on_loopback

# Nothing listens on this address, as if this host couldn't reach the store.
UNREACHABLE = Address(HOST, 9)


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
