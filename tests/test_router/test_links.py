"""Tests of the link pool of a router."""

from __future__ import annotations

import unittest
from dataclasses import replace

import anyio
from anyio.abc import SocketAttribute, SocketStream
from parameterized import parameterized

from agatehoist.protocol.authentication import KeyRing, Side
from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import ProtocolError, WrongPeerError
from agatehoist.router.directory import EndpointDirectory
from agatehoist.router.links import LinkPool
from tests.test_protocol.test_authentication import ROUTER, SIDECAR
from tests.test_router.test_offer_search import entry

HOST = "near-0"


class LinkPoolTests(unittest.TestCase):
    @parameterized.expand(
        # "its_successor": another host that got the address of the listed one.
        [("the_listed_host", HOST, None), ("its_successor", "near-1", WrongPeerError)]
    )
    def test_only_the_listed_host_is_accepted_at_its_address(
        self, _name: str, node: str, expected: type[ProtocolError] | None
    ) -> None:
        self.assertEqual(anyio.run(self._error_on_get, node), expected)

    async def _error_on_get(self, node: str) -> type[ProtocolError] | None:
        async def serve(stream: SocketStream) -> None:
            connection = Connection(stream)
            await connection.handshake(replace(SIDECAR, node=node), Side.SERVER)
            await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        directory = EndpointDirectory()
        directory.replace([replace(entry(HOST, "coast"), port=port)])
        error_type = None
        async with listener, anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, serve)
            pool = LinkPool(directory, lambda: ROUTER, task_group, KeyRing())
            try:
                await pool.get(HOST)
            except ProtocolError as error:
                error_type = type(error)
            task_group.cancel_scope.cancel()
        return error_type
