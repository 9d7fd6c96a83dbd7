"""Tests of how gateways learn of each other."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.gateway.nodes import NODE_KIND, track_nodes
from agatehoist.gateway.peer_reports import exchange_peer_reports
from agatehoist.protocol.node_reports import NodeReport, encode_report
from standins.fleet import free_ports
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from standins.users_platform.loopback import HOST

NEW_HOST = "127.0.0.2"
KNOWN_WITHIN_S = 6.0


class NewNodeTests(unittest.TestCase):
    # Whether the new node sends datagrams; without any, the next regular poll finds it.
    @parameterized.expand([("sends", True), ("silent", False)])
    def test_new_node_is_known_soon_after_its_first_datagram(
        self, _name: str, sends: bool
    ) -> None:
        world = GatewayHarness()

        async def run() -> bool:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                state = world.state
                own, new = Address(HOST, free_ports(1)[0]), Address(NEW_HOST, 7)
                state.settings = replace(state.settings, inner=own)
                entry = {"host": HOST, "port": 9, "data_centre": "z1"}
                world.store.put(NODE_KIND, "n2", entry)
                task_group.start_soon(track_nodes, state)
                task_group.start_soon(exchange_peer_reports, state)
                lists = f"GET {NODE_KIND}"
                # The list counts as complete when it has stayed the same.
                await until(lambda: world.store.calls.count(lists) > 1)
                world.store.put(NODE_KIND, "n3", {**entry, "host": NEW_HOST, "port": 7})
                with (
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
                    anyio.move_on_after(KNOWN_WITHIN_S),
                ):
                    sock.bind((NEW_HOST, 0))
                    if sends:
                        report = encode_report(NodeReport("n3", 1, 1, True, {}))
                        sock.sendto(report, (own.host, own.port))
                    while new not in state.nodes:  # noqa: ASYNC110
                        await anyio.sleep(0.05)
                task_group.cancel_scope.cancel()
                return new in state.nodes

        self.assertEqual(anyio.run(run), sends)


class RestoredStoreTests(unittest.TestCase):
    def test_node_that_the_store_has_lost_registers_again(self) -> None:
        world = GatewayHarness()
        world.store.era = 1

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                copied = world.store.copy()
                other = {"host": HOST, "port": 9, "data_centre": "z1"}
                world.store.put(NODE_KIND, "n2", other)
                task_group.start_soon(track_nodes, world.state)
                await until(lambda: len(world.state.nodes) == 2)
                world.store.restore(copied)
                with anyio.fail_after(KNOWN_WITHIN_S):
                    await until(lambda: world.store.spec(NODE_KIND, "n1") is not None)
                # The other node hasn't registered again yet, and isn't forgotten.
                await anyio.sleep(0.5)
                self.assertEqual(len(world.state.nodes), 2)
                task_group.cancel_scope.cancel()

        anyio.run(run)
