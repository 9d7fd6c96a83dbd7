"""Tests of callers that read their answers slowly."""

from __future__ import annotations

import socket
import unittest

import anyio
from parameterized import parameterized

from standins.users_platform.harness import GatewayHarness, running_gateway
from standins.users_platform.loopback import HOST
from tests.test_gateway.callers import (
    PROMPT_REQUEST,
    STREAM_END,
    read_until,
    slow_configuration,
)

EVENT_COUNT = 1000
EVENT_INTERVAL_S = 0.002
BUFFER_BYTES = 4096


class SlowCallerTests(unittest.TestCase):
    # How long the caller reads nothing, while its buffer is full.
    @parameterized.expand([("short_pause", 1.0), ("long_pause", 6.0)])
    def test_answer_is_not_cut_while_a_live_caller_reads_nothing(
        self, _name: str, pause_s: float
    ) -> None:
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.engines:
            each.event_count, each.event_interval_s = EVENT_COUNT, EVENT_INTERVAL_S

        async def run() -> bytes:
            async with running_gateway(world):
                with socket.socket() as sock:
                    size = BUFFER_BYTES
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
                    sock.connect((HOST, world.port))
                    sock.setblocking(False)
                    sock.send(PROMPT_REQUEST)
                    await anyio.sleep(pause_s)
                    return await read_until(sock, STREAM_END)

        self.assertEqual(anyio.run(run).count(b"data:"), EVENT_COUNT)
