"""Tests of connections on non-blocking sockets."""

from __future__ import annotations

import socket
import unittest

import anyio
import anyio.lowlevel

from agatehoist.http1.channel import RECEIVE_BYTES, Channel

# Each time the bytes are there before they are read.
RECEIVES = 40


class ReceiveTests(unittest.TestCase):
    def test_peer_that_always_has_sent_more_does_not_keep_out_other_tasks(self) -> None:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await anyio.lowlevel.checkpoint()

        async def run() -> int:
            own, peer = socket.socketpair()
            with own, peer:
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                own.setblocking(False)
                peer.setblocking(False)
                channel = Channel(own, "peer")
                received = 0
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(count_turns)
                    await anyio.lowlevel.checkpoint()
                    before = turns
                    for _ in range(RECEIVES):
                        peer.send(b"x" * RECEIVE_BYTES)
                        received += len(await channel.receive())
                    turns_meanwhile = turns - before
                    task_group.cancel_scope.cancel()
            self.assertEqual(received, RECEIVES * RECEIVE_BYTES)
            return turns_meanwhile

        self.assertGreaterEqual(anyio.run(run), RECEIVES // 2 - 1)
