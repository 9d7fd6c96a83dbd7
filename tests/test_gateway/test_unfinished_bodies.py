"""Tests of bodies that callers don't send whole."""

from __future__ import annotations

import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from standins.users_platform.harness import (
    API_KEY,
    GatewayHarness,
    configuration,
    running_gateway,
)
from tests.test_gateway.callers import RECEIVE_BYTES, connect_as_caller
from tests.test_gateway.test_endless_bytes import (
    MAX_BODY_BYTES,
    MEMORY_LIMIT_MB,
    SOUND_REQUESTS,
    make_world,
    play_beside,
)

if TYPE_CHECKING:
    from tests.test_gateway.test_processes import RunningGateway

STALLED_CALLERS = 40
STALLED_BYTES = 3_900_000
LARGE_BODY_BYTES = 1_000_000
STATUS_TIMEOUT_S = 2.0


async def send_stalled_body(port: int, key: str, until: anyio.Event) -> bytes:
    """Send most of a body; return what the gateway answers to it, if it does."""
    head = (
        b"POST /post/1 HTTP/1.1\r\nHost: a.example\r\nX-Agatehoist-Request-Id: r1\r\n"
        b"Api-Key: " + key.encode() + b"\r\n"
        b"Content-Length: " + str(STALLED_BYTES + 1).encode() + b"\r\n\r\n"
    )
    sock = connect_as_caller(port)
    received = b""
    left = memoryview(head + b"y" * STALLED_BYTES)
    with suppress(OSError):
        while left and not received:
            await anyio.wait_writable(sock)
            left = left[sock.send(left) :]
            with suppress(BlockingIOError):
                received = sock.recv(4096)
    await until.wait()
    with suppress(OSError):
        received = received or sock.recv(4096)
    sock.close()
    return received


class UnfinishedBodyTests(unittest.TestCase):
    # The key of the callers whose bodies stop short, and the status that some of them
    # get at once.
    @parameterized.expand([("known_key", API_KEY, b"503"), ("no_key", "other", b"401")])
    def test_bodies_that_stop_short_fit_into_memory_together(
        self, _name: str, key: str, status: bytes
    ) -> None:
        world = make_world()
        answers: list[bytes] = []

        async def disturb(_gateway: RunningGateway, done: anyio.Event) -> None:
            async def call() -> None:
                answer = await send_stalled_body(world.port, key, done)
                answers.append(answer.partition(b"\r\n")[0])

            async with anyio.create_task_group() as task_group:
                for _ in range(STALLED_CALLERS):
                    task_group.start_soon(call)

        peak_mb, statuses = anyio.run(play_beside, world, disturb)
        self.assertEqual(statuses, [200] * SOUND_REQUESTS)
        self.assertLess(peak_mb, MEMORY_LIMIT_MB)

    # What the head of a request with a large body says, how much of the body is sent,
    # and the status.
    @parameterized.expand(
        [
            ("whole", b"", b"/post/1", LARGE_BODY_BYTES, b"200"),
            ("unknown_key", b"Api-Key: other\r\n", b"/post/1", 0, b"401"),
            ("unknown_route", b"", b"/none/1", 0, b"404"),
            ("stalled", b"", b"/post/1", LARGE_BODY_BYTES - 1, b"408"),
            ("stalled_at_once", b"", b"/post/1", 0, b"408"),
        ]
    )
    def test_request_with_a_large_body_is_answered_as_soon_as_it_can_be(
        self, _name: str, key: bytes, path: bytes, sent: int, status: bytes
    ) -> None:
        """A body is not waited for if its head or its deadline tells the answer."""
        world = GatewayHarness()
        changed = configuration()
        changed["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
        for route in changed["Routes"]:
            route["TimeoutMs"] = 500
        world.store.put("config", "main", changed)
        key = key or b"Api-Key: " + API_KEY.encode() + b"\r\n"
        head = (
            b"POST "
            + path
            + b" HTTP/1.1\r\nHost: a.example\r\n"
            + key
            + b"X-Agatehoist-Request-Id: r1\r\n"
            b"Content-Length: " + str(LARGE_BODY_BYTES).encode() + b"\r\n\r\n"
        )

        async def run() -> bytes:
            async with running_gateway(world):
                sock = connect_as_caller(world.port)
                with sock:
                    left = memoryview(head + b"y" * sent)
                    while left:
                        await anyio.wait_writable(sock)
                        left = left[sock.send(left) :]
                    with anyio.fail_after(STATUS_TIMEOUT_S):
                        await anyio.wait_readable(sock)
                        return sock.recv(RECEIVE_BYTES)

        self.assertEqual(anyio.run(run).split(b" ")[1], status)
        self.assertEqual(len(world.runs()), int(status == b"200"))
