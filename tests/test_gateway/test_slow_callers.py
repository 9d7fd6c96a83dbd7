"""Tests of callers that read nothing for a while."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.gateway.drain import drain
from agatehoist.http1 import channel
from standins.users_platform import endpoint
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from standins.users_platform.loopback import HOST
from tests.test_gateway.callers import (
    POST_REQUEST,
    PROMPT_REQUEST,
    REQUEST,
    STREAM_END,
    connect_as_caller,
    read_piece,
    read_to_end,
    read_until,
    slow_configuration,
)

# Longer than a peer that has vanished is waited for.
PAUSE_S = 3.5
GRACE_S = 2.0
# The kernel doubles it; the streams are longer.
RECEIVE_BUFFER_BYTES = 1024
EVENT_COUNT = 400
LONG_EVENT_COUNT = 1000
EVENT_INTERVAL_S = 0.002
SEND_BUFFER_BYTES = 4096
# More than both buffers hold.
ANSWER_BYTES = 100_000
# They take more bytes than are read ahead, and fewer than the kernel holds besides.
PIPELINED_REQUESTS = 1000
CANCELLED_WITHIN_S = 0.5


def connect_with_a_small_window(port: int) -> socket.socket:
    """Return a socket that is connected to a gateway and holds little unread data."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect((HOST, port))
    sock.setblocking(False)
    return sock


class PausingCallerTests(unittest.TestCase):
    @parameterized.expand([("while_it_is_open", False), ("after_a_stop", True)])
    def test_stream_to_a_caller_that_pauses_is_not_cut(
        self, _name: str, stops: bool
    ) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count = EVENT_COUNT

        async def run() -> bytes:
            async with running_gateway(world):
                settings = replace(world.state.settings, stop_grace_s=GRACE_S)
                world.state.settings = settings
                sock = connect_with_a_small_window(world.port)
                sock.send(PROMPT_REQUEST)
                await until(lambda: any(each.run_ends for each in world.engines))
                if not stops:
                    await anyio.sleep(PAUSE_S)
                    return await read_stream(sock)
                await drain(world.state, lambda: None, anyio.current_time())
            # The process has ended.
            await anyio.sleep(PAUSE_S)
            return await read_stream(sock)

        self.assertTrue(anyio.run(run).endswith(STREAM_END))


class SlowCallerTests(unittest.TestCase):
    # How long the caller reads nothing, while its buffer is full.
    @parameterized.expand([("short_pause", 1.0), ("long_pause", 6.0)])
    def test_answer_is_not_cut_while_a_live_caller_reads_nothing(
        self, _name: str, pause_s: float
    ) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count, each.event_interval_s = LONG_EVENT_COUNT, EVENT_INTERVAL_S

        async def run() -> bytes:
            async with running_gateway(world):
                with connect_with_a_small_window(world.port) as sock:
                    sock.send(PROMPT_REQUEST)
                    await anyio.sleep(pause_s)
                    return await read_until(sock, STREAM_END)

        self.assertEqual(anyio.run(run).count(b"data:"), LONG_EVENT_COUNT)


class SmallBufferTests(unittest.TestCase):
    # What a caller sends and the answer of the endpoint.
    @parameterized.expand(
        [("reply", POST_REQUEST, "large"), ("stream", PROMPT_REQUEST, "flood")]
    )
    def test_answer_that_its_caller_reads_after_a_stop_is_whole(
        self, _name: str, sent: bytes, answer: str
    ) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.endpoints():
            each.faults = [answer]

        async def run() -> bytes:
            async with running_gateway(world):
                settings = replace(world.state.settings, stop_grace_s=GRACE_S)
                world.state.settings = settings
                with mock.patch.object(channel, "configure_socket", limit_send_buffer):
                    sock = connect_with_a_small_window(world.port)
                    sock.send(sent)
                    await until(lambda: bool(world.runs()))
                await drain(world.state, lambda: None, anyio.current_time())
            # The process has ended.
            with sock:
                return await read_to_end(sock)

        with (
            mock.patch.object(endpoint, "LARGE_ANSWER_BYTES", ANSWER_BYTES),
            mock.patch.object(
                endpoint, "FLOOD_EVENTS", ANSWER_BYTES // len(endpoint.FLOOD_DATA)
            ),
        ):
            received = anyio.run(run)
        self.assertGreater(len(received), ANSWER_BYTES)
        if answer == "flood":
            self.assertTrue(received.endswith(STREAM_END))


class LeavingCallerTests(unittest.TestCase):
    # What is sent behind the request, and whether the connection is then reset.
    @parameterized.expand(
        [
            ("nothing", b"", False),
            ("more_than_is_read_ahead", REQUEST * PIPELINED_REQUESTS, False),
            ("more_than_is_read_ahead_and_reset", REQUEST * PIPELINED_REQUESTS, True),
        ]
    )
    def test_run_of_a_caller_that_left_is_cancelled(
        self, _name: str, behind: bytes, resets: bool
    ) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.endpoints():
            each.faults = ["mute"]

        async def run() -> None:
            async with running_gateway(world):
                sock = connect_as_caller(world.port)
                sock.send(REQUEST)
                await until(lambda: any(each.active for each in world.endpoints()))
                if behind:
                    sock.send(behind)
                    await anyio.sleep(0.1)
                if resets:
                    option = (socket.SOL_SOCKET, socket.SO_LINGER)
                    sock.setsockopt(*option, channel.RESET_ON_CLOSE)
                sock.close()
                with anyio.fail_after(CANCELLED_WITHIN_S):
                    await until(lambda: not any(e.active for e in world.endpoints()))

        anyio.run(run)


def limit_send_buffer(sock: socket.socket, _timeout_ms: int = 0) -> None:
    """Let the kernel hold little of what is sent, as on a link with small packets."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


async def read_stream(sock: socket.socket) -> bytes:
    """Return what arrives until a stream or its connection ends."""
    received = b""
    with sock:
        while not received.endswith(STREAM_END) and (data := await read_piece(sock)):
            received += data
    return received
