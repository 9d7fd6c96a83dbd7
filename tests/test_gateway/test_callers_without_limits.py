"""Tests of a gateway process beside callers that send and hold more than others.

They check that the process lives, its memory and descriptors, and that an ordinary
request is answered afterwards; no times and no share of served requests.
"""

from __future__ import annotations

import itertools
import resource
import socket
import unittest
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from standins.users_platform.harness import GatewayHarness
from standins.users_platform.loopback import HOST
from tests.test_gateway.callers import (
    HEADERS,
    POST_REQUEST,
    PROMPT_REQUEST,
    RECEIVE_BYTES,
    REQUEST,
    slow_configuration,
)
from tests.test_gateway.test_endless_bytes import peak_memory_mb
from tests.test_gateway.test_processes import NAME, RunningGateway, gateway_process

if TYPE_CHECKING:
    from collections.abc import Iterable

# The memory of the smallest machines that run a gateway.
MEMORY_MB = 128
# Fewer than the callers of the crowd that has most connections.
MAX_FDS = 400
# The process keeps the other descriptors for endpoints, peers and the store.
MAX_OPEN_FDS = 300
IDLE_CALLERS = 600
MAX_BODY_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_MS = 120_000
# How long the crowd sends; its connections stay open for longer.
CROWD_S = 4.0
# An answer takes milliseconds; the fault lasted for over a minute of processor time.
ANSWER_WAIT_S = 20.0
FEW, MANY = 30, 100
BODY = b"POST /post/1 HTTP/1.1\r\n" + HEADERS
CHUNKED = BODY + b"Transfer-Encoding: chunked\r\n\r\n"
DECLARED = BODY + b"Content-Length: 4000000000\r\n\r\n"
LARGE_CHUNK = b"10000\r\n" + b"y" * 0x10000 + b"\r\n"
ONE_BYTE_CHUNK = b"1\r\ny\r\n"
EXTENDED_CHUNK = b"1;" + b"e" * 60 + b"\r\ny\r\n"
# Pieces that are sent in one call.
BATCH = 500
ENDLESS = 1_000_000_000
SMALL_BUFFER_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Crowd:
    """Describe callers that all send the same: a start, then a piece again and again.

    Their connections stay open. Answers are read only if `reads` is set.
    """

    callers: int
    start: bytes
    piece: bytes = b""
    count: int = 0
    pause_s: float = 0.0
    reads: bool = False


CROWDS = {
    "large_chunks_short_of_the_end": Crowd(MANY, CHUNKED, LARGE_CHUNK, 60),
    "one_byte_chunks": Crowd(MANY, CHUNKED, ONE_BYTE_CHUNK * BATCH, 300_000 // BATCH),
    "one_byte_chunks_with_extensions": Crowd(
        MANY, CHUNKED, EXTENDED_CHUNK * BATCH, 300_000 // BATCH
    ),
    "bodies_without_end": Crowd(FEW, CHUNKED, LARGE_CHUNK, ENDLESS),
    "bodies_declared_far_over_the_limit": Crowd(
        MANY, DECLARED, b"y" * 0x10000, ENDLESS
    ),
    "bodies_far_over_the_limit": Crowd(
        MANY, CHUNKED + b"ee6b2800\r\n", b"y" * 0x10000, ENDLESS
    ),
    "chunk_sizes_without_end": Crowd(MANY, CHUNKED + b"1;", b"e" * 1000, ENDLESS),
    "trailers_without_end": Crowd(
        MANY, CHUNKED + b"0\r\n", b"X-A: b\r\n" * 100, ENDLESS
    ),
    "slow_heads": Crowd(3 * MANY, BODY, b"X-A: b\r\n", ENDLESS, pause_s=0.2),
    "idle_connections": Crowd(IDLE_CALLERS, b""),
    "pipelining_without_end": Crowd(FEW, b"", REQUEST * 20, ENDLESS, reads=True),
    "pipelining_unread": Crowd(FEW, b"", REQUEST * 20, ENDLESS),
    "answers_never_read": Crowd(MANY, POST_REQUEST),
    "streams_never_read": Crowd(MANY, PROMPT_REQUEST),
}


def make_world() -> GatewayHarness:
    """Return a world with slow routes, large bodies and large answers."""
    world = GatewayHarness()
    changed = slow_configuration()
    changed["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
    changed["Limits"]["IdleTimeoutMs"] = IDLE_TIMEOUT_MS
    world.store.put("config", "main", changed)
    for each in world.applications:
        each.faults = ["large"] * MANY
    for each in world.engines:
        each.faults = ["flood"] * MANY
    return world


def connect_caller(port: int) -> socket.socket:
    """Return a socket that holds little of what it doesn't read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    sock.connect_ex((HOST, port))
    return sock


async def send(sock: socket.socket, data: bytes, reads: bool) -> None:
    """Send bytes, however slowly they are read.

    Raises OSError if the connection ends.
    """
    left = memoryview(data)
    while left:
        await anyio.wait_writable(sock)
        left = left[sock.send(left) :]
        if reads:
            with suppress(BlockingIOError):
                while sock.recv(RECEIVE_BYTES):
                    pass


async def play_caller(sock: socket.socket, crowd: Crowd) -> None:
    """Send what a caller of the crowd sends, until the connection ends."""
    pieces: Iterable[bytes] = itertools.repeat(crowd.piece, crowd.count)
    with suppress(OSError):
        await send(sock, crowd.start, crowd.reads)
        for piece in pieces:
            await send(sock, piece, crowd.reads)
            await anyio.sleep(crowd.pause_s)


def open_descriptors(gateway: RunningGateway) -> int:
    """Return how many descriptors a gateway process has open."""
    pid = gateway.fleet.processes_by_name[NAME].pid
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


async def watch_descriptors(gateway: RunningGateway, counts: list[int]) -> None:
    """Note how many descriptors a gateway process has open, again and again."""
    while True:
        counts.append(open_descriptors(gateway))
        await anyio.sleep(0.1)


class CrowdTests(unittest.TestCase):
    @parameterized.expand(CROWDS)
    def test_ordinary_request_is_answered_after_a_crowd(self, name: str) -> None:
        """A crowd of callers must not end, fill or occupy the process."""
        crowd = CROWDS[name]
        world = make_world()
        limits = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}
        counts: list[int] = []

        async def run() -> float:
            async with gateway_process(world, limits) as gateway:
                await gateway.wait_for_readiness()
                process = gateway.fleet.processes_by_name[NAME]
                bound = (MAX_FDS, MAX_FDS)
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, bound)
                with ExitStack() as sockets:
                    async with anyio.create_task_group() as task_group:
                        task_group.start_soon(watch_descriptors, gateway, counts)
                        for _ in range(crowd.callers):
                            sock = sockets.enter_context(connect_caller(world.port))
                            task_group.start_soon(play_caller, sock, crowd)
                        await anyio.sleep(CROWD_S)
                        task_group.cancel_scope.cancel()
                    await gateway.wait_for_success("/look/1", ANSWER_WAIT_S)
                counts.append(open_descriptors(gateway))
                self.assertIsNone(process.poll(), gateway.fleet.log(NAME))
                return peak_memory_mb(gateway)

        peak_mb = anyio.run(run)
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(max(counts), MAX_OPEN_FDS)
