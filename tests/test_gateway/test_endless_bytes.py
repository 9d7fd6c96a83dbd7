"""Tests of the memory of a gateway process beside bodies without end."""

from __future__ import annotations

import unittest
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.endpoint import LARGE_ANSWER_BYTES
from standins.users_platform.harness import (
    GatewayHarness,
    running_gateway,
)
from tests.test_gateway.callers import (
    PROMPT_REQUEST,
    RECEIVE_BYTES,
    connect_as_caller,
    slow_configuration,
)
from tests.test_gateway.test_processes import NAME, RunningGateway, gateway_process

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# The memory of the smallest machines that run a gateway.
MEMORY_LIMIT_MB = 128
KB_PER_MB = 1024
ENDLESS_REPLIES = 50
SOUND_REQUESTS = 20
MAX_BODY_BYTES = 4 * 1024 * 1024
SETTLE_S = 1.0


def peak_memory_mb(gateway: RunningGateway) -> float:
    """Return the peak resident memory of a gateway process."""
    pid = gateway.fleet.processes_by_name[NAME].pid
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KB_PER_MB
    raise AssertionError("no peak in the status of the process")


def make_world() -> GatewayHarness:
    """Return a world with slow routes and large bodies."""
    world = GatewayHarness()
    changed = slow_configuration()
    changed["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
    changed["Limits"]["IdleTimeoutMs"] = 20_000
    world.store.put("config", "main", changed)
    return world


async def read_stream(port: int) -> None:
    """Send a request for a stream, and drop what is read of it."""
    sock = connect_as_caller(port)
    with suppress(OSError):
        sock.send(PROMPT_REQUEST)
        await anyio.wait_readable(sock)
        while sock.recv(RECEIVE_BYTES):
            await anyio.wait_readable(sock)
    sock.close()


async def play_beside(
    world: GatewayHarness,
    disturb: Callable[[RunningGateway, anyio.Event], Awaitable[None]],
    path: str = "/trace/1",
) -> tuple[float, list[int]]:
    """Return the peak memory and the statuses of sound requests beside others."""
    statuses: list[int] = []

    async def ask(number: int) -> None:
        headers = {"x_agatehoist_request_id": f"sound{number}"}
        ask = world.ask_prompt if path.startswith("/trace") else world.ask
        reply = await ask(path, **headers)
        statuses.append(reply.head.status)

    async with gateway_process(world) as gateway:
        await gateway.wait_for_readiness()
        done = anyio.Event()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(disturb, gateway, done)
            await anyio.sleep(SETTLE_S)
            async with anyio.create_task_group() as sound:
                for number in range(SOUND_REQUESTS):
                    sound.start_soon(ask, number)
                    await anyio.sleep(0.05)
            await anyio.sleep(SETTLE_S)
            peak_mb = peak_memory_mb(gateway)
            done.set()
            task_group.cancel_scope.cancel()
        assert await gateway.readiness() == 200, "the gateway isn't ready any more"
    return peak_mb, statuses


class MemoryTests(unittest.TestCase):
    # The path of the requests whose replies have no end, and the fault of the endpoints
    # that get them.
    @parameterized.expand(
        [
            ("bodies_in_chunks", "/look/1", "endless_body"),
            ("bodies_without_length", "/look/1", "endless_unframed"),
            ("failures", "/look/1", "endless_failure"),
            ("rejections", "/look/1", "endless_rejection"),
            ("heads", "/look/1", "endless_head"),
            ("calls_that_run_once", "/post/1", "endless_unframed"),
        ]
    )
    def test_replies_without_end_fit_into_memory_together(
        self, _name: str, path: str, fault: str
    ) -> None:
        """Each reply is cut at a bound, but fifty at once must be bounded too."""
        world = make_world()
        shared = [fault] * (2 * ENDLESS_REPLIES)
        for each in world.applications:
            each.faults = shared

        async def disturb(_gateway: RunningGateway, _done: anyio.Event) -> None:
            async def call(number: int) -> None:
                with suppress(ConnectionFailedError, TimeoutError):
                    await world.ask(path, x_agatehoist_request_id=f"endless{number}")

            async with anyio.create_task_group() as task_group:
                for number in range(ENDLESS_REPLIES):
                    task_group.start_soon(call, number)

        peak_mb, statuses = anyio.run(play_beside, world, disturb)
        self.assertEqual(statuses, [200] * SOUND_REQUESTS)
        self.assertLess(peak_mb, MEMORY_LIMIT_MB)

    @parameterized.expand([("event", "endless_event"), ("events", "endless_events")])
    def test_streams_without_end_fit_into_memory_together(
        self, _name: str, fault: str
    ) -> None:
        """Events that have been passed on need not be kept."""
        world = make_world()
        shared = [fault] * (2 * ENDLESS_REPLIES)
        for each in world.engines:
            each.faults = shared

        async def disturb(_gateway: RunningGateway, _done: anyio.Event) -> None:
            async with anyio.create_task_group() as task_group:
                for _ in range(ENDLESS_REPLIES):
                    task_group.start_soon(read_stream, world.port)

        peak_mb, statuses = anyio.run(play_beside, world, disturb, "/look/1")
        self.assertEqual(statuses, [200] * SOUND_REQUESTS)
        self.assertLess(peak_mb, MEMORY_LIMIT_MB)


class LargeBodyTests(unittest.TestCase):
    def test_large_reply_with_a_length_is_whole_beside_endless_ones(self) -> None:
        """Only bodies that may have no end are dropped for others."""
        world = make_world()
        for each in world.engines:
            each.faults = ["endless_failure"] * ENDLESS_REPLIES
        for each in world.applications:
            each.faults = ["large"] * 2

        async def run() -> list[int]:
            lengths: list[int] = []

            async def ask(number: int) -> None:
                name = f"large{number}"
                reply = await world.ask("/post/1", "POST", x_agatehoist_request_id=name)
                lengths.append(len(reply.body))

            async with running_gateway(world), anyio.create_task_group() as endless:
                for _ in range(ENDLESS_REPLIES):
                    endless.start_soon(read_stream, world.port)
                await anyio.sleep(0.2)
                async with anyio.create_task_group() as task_group:
                    for number in range(2):
                        task_group.start_soon(ask, number)
                endless.cancel_scope.cancel()
            return lengths

        self.assertEqual(anyio.run(run), [LARGE_ANSWER_BYTES] * 2)
