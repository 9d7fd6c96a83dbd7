"""Tests of connections on non-blocking sockets."""

from __future__ import annotations

import errno
import os
import socket
import unittest
from unittest.mock import patch

import anyio
import anyio.lowlevel
from parameterized import parameterized

from agatehoist.http1 import channel
from agatehoist.http1.channel import RECEIVE_BYTES, RESET_ON_CLOSE, Channel, connect
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.protocol.errors import ConnectionLostError
from agatehoist.protocol.outgoing_connections import open_connection

# Each time the bytes are there before they are read.
RECEIVES = 40
# More than the sockets of both sides hold, and time to fill them.
MORE_THAN_BUFFERS = 64 * 1024 * 1024
FILL_S = 0.2


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        own, _ = server.accept()
    return own, peer


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


class ResetTests(unittest.TestCase):
    # The call to which the kernel reports the reset before the connection is read.
    @parameterized.expand([("none",), ("look",), ("wait",), ("send",)])
    def test_reset_is_not_read_as_the_end_of_the_stream(self, call: str) -> None:
        async def run() -> None:
            own, peer = connected_sockets()
            own.setblocking(False)
            channel = Channel(own, "peer")
            peer.send(b"part")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            peer.close()
            if call == "send":
                with self.assertRaises(ConnectionFailedError):
                    await channel.send(b"x")
            received = await channel.receive()
            if call == "look":
                self.assertFalse(channel.is_idle())
            if call == "wait":
                await channel.wait_for_input()
            self.assertEqual(received, b"part")
            with self.assertRaises(ConnectionFailedError):
                await channel.receive()
            channel.close()

        anyio.run(run)


class AbortTests(unittest.TestCase):
    # Whether the peer has kept up with what was sent.
    @parameterized.expand([("slow_peer", False), ("peer_that_reads", True)])
    def test_abort_does_not_hide_what_it_keeps_from_the_peer(
        self, _name: str, reads: bool
    ) -> None:
        async def run() -> int:
            own, peer = connected_sockets()
            own.setblocking(False)
            channel = Channel(own, "peer")
            with peer:
                with anyio.move_on_after(FILL_S):
                    await channel.send(b"x" * (1 if reads else MORE_THAN_BUFFERS))
                if reads:
                    peer.recv(1)
                channel.abort()
            return channel.discarded_bytes

        self.assertEqual(anyio.run(run) == 0, reads)


class SendBufferTests(unittest.TestCase):
    # What the kernel allows at most, against a buffer of 64 KiB (it counts both twice).
    @parameterized.expand([("less", 16, 128), ("more", 128, 256)])
    def test_send_buffer_is_never_made_smaller(
        self, _name: str, allowed_kib: int, size_kib: int
    ) -> None:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
            allowed = allowed_kib * 1024
            with patch.object(channel, "LAST_SEND_BUFFER_BYTES", allowed):
                Channel(sock, "peer").enlarge_send_buffer()
            size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        self.assertEqual(size, size_kib * 1024)


class ConnectTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("port_too_large", "127.0.0.1", 70_000),
            ("negative_port", "127.0.0.1", -1),
            ("zero_byte", "a\0b", 80),
            ("lone_surrogate", "\ud800", 80),
            ("no_address", "999.1.1.1", 80),
        ]
    )
    def test_unusable_address_is_a_failed_connection(
        self, _name: str, host: str, port: int
    ) -> None:
        with self.assertRaises(ConnectionFailedError):
            anyio.run(connect, host, port)

    def test_lack_of_file_descriptors_is_a_failed_connection(self) -> None:
        async def run() -> None:
            exhausted = OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            with patch("socket.socket", side_effect=exhausted):
                await connect("127.0.0.1", 9)

        with self.assertRaises(ConnectionFailedError):
            anyio.run(run)

    @parameterized.expand(
        [
            ("huge_port", "127.0.0.1", 10**30),
            ("high_port", "127.0.0.1", 65536),
            ("negative_port", "127.0.0.1", -1),
            ("nul", "127.0.0.1\0", 9),
            ("surrogate", "127.0.0.1\ud800", 9),
            ("long", "a" * 10**6, 9),
        ]
    )
    def test_odd_address_raises_what_an_unreachable_one_does(
        self, _name: str, host: str, port: int
    ) -> None:
        async def run() -> None:
            with self.assertRaises(ConnectionFailedError) as caught:
                await connect(host, port)
            self.assertLess(len(str(caught.exception)), 300)
            with self.assertRaises(ConnectionLostError):
                await open_connection(host, port)

        anyio.run(run)
