"""Tests of requests that are open when the grace period of a stop ends."""

from __future__ import annotations

import unittest
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.core.units import MS_PER_S
from agatehoist.gateway.drain import drain
from agatehoist.gateway.ingress import HttpReplyWriter
from agatehoist.stopping.durations import MIN_SAMPLES
from standins.users_platform.harness import (
    GatewayHarness,
    running_gateway,
    until,
)
from tests.test_gateway.callers import (
    HEADERS,
    POST_REQUEST,
    PROMPT_HEADERS,
    PROMPT_REQUEST,
    REQUEST,
    STREAM_END,
    connect_as_caller,
    read_piece,
    read_to_end,
    read_until,
    send_later,
    slow_configuration,
)

if TYPE_CHECKING:
    from agatehoist.http1.event_stream import StreamEvent

GRACE_S = 2.0
# A process has got its signal so long ago that by now it should have ended.
LONGER_GRACE_S = 4.0
STOOD_STILL_S = 3.7
# More than a busy machine takes to pass on an answer that has arrived.
LAST_EVENTS_S = 5.0
# An engine has sent its whole answer after this time.
ANSWERED_S = 1.2
# A deadline of this share of the grace ends before the final answers.
NEAR_DEADLINE_SHARE = 0.8
CHUNKED_HEAD = (
    b"POST /credit/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
    + HEADERS
    + PROMPT_HEADERS
)
# After this time a request waits in line or its stream has begun.
STARTED_S = 0.2
# A stream of so many events goes on when the stop begins.
EVENTS_OF_A_LONG_STREAM = 60
# More prompt tokens than any engine reads within the tests.
ENDLESS_TOKENS = 10**9


def open_harness() -> GatewayHarness:
    """Return a harness in which no request ends within the grace."""
    world = GatewayHarness()
    world.store.put("config", "main", slow_configuration())
    for each in world.applications:
        each.faults = ["mute"] * 9
    return world


def fill_engines(world: GatewayHarness) -> None:
    """Leave no room for prompts on any engine."""
    for each in world.state.fleet.by_name.values():
        # A short prompt waits for other short ones only.
        world.state.load.track(each.lifetime, ENDLESS_TOKENS, is_short=True)


async def learn_calls(world: GatewayHarness) -> None:
    """Let the gateway learn how long calls take."""
    async with anyio.create_task_group() as task_group:
        for _ in range(MIN_SAMPLES):
            task_group.start_soon(world.ask, "/post/1", "POST")


class OpenRequestTests(unittest.TestCase):
    # What a caller sends, whether the engines have room, how many events they send and
    # the status that the caller gets; 0 stands for an answer that breaks off.
    @parameterized.expand(
        [
            ("waiting_in_line", PROMPT_REQUEST, False, 5, 503, 0),
            ("sent_and_not_repeatable", POST_REQUEST, True, 5, 502, 1),
            ("sent_and_repeatable", REQUEST, True, 5, 502, 1),
            ("stream_begun", PROMPT_REQUEST, True, 100_000, 0, 1),
            ("partly_read", POST_REQUEST[:-1], True, 5, 503, 0),
        ]
    )
    def test_request_open_at_the_end_of_the_grace_gets_a_true_answer(
        self,
        _name: str,
        sent: bytes,
        has_room: bool,
        event_count: int,
        status: int,
        runs: int,
    ) -> None:
        world = open_harness()
        for each in world.engines:
            each.event_count = event_count

        async def run() -> bytes:
            async with running_gateway(world):
                world.state.settings = replace(
                    world.state.settings, stop_grace_s=GRACE_S
                )
                if not has_room:
                    fill_engines(world)
                sock = connect_as_caller(world.port)
                sock.send(sent)
                await until(lambda: not world.state.caller_connections.waiting)
                await until(lambda: len(world.runs()) == runs)
                await anyio.sleep(STARTED_S)
                with anyio.fail_after(GRACE_S):
                    await drain(world.state, lambda: None, anyio.current_time())
            # The process has ended.
            received = b""
            with sock, suppress(ConnectionResetError):
                received = await read_to_end(sock)
            return received

        received = anyio.run(run)
        self.assertEqual(len(world.runs()), runs)
        if status:
            self.assertTrue(received.startswith(b"HTTP/1.1 %d" % status), received)
            self.assertIn(b"connection: close", received.lower())
        else:
            self.assertFalse(received.endswith(b"0\r\n\r\n"))

    # How many events the answer has: a few are buffered, the rest lies in a socket.
    @parameterized.expand([("buffered", 5), ("in_a_socket", 100)])
    def test_answer_that_is_ready_at_the_end_of_the_grace_is_delivered(
        self, _name: str, event_count: int
    ) -> None:
        world = GatewayHarness()
        for each in world.engines:
            each.event_count = event_count
        caller_reads = anyio.Event()
        send = HttpReplyWriter.send

        async def send_later(
            writer: HttpReplyWriter, events: tuple[StreamEvent, ...]
        ) -> None:
            if not caller_reads.is_set():
                await caller_reads.wait()
            await send(writer, events)

        async def run() -> bytes:
            async with running_gateway(world):
                with connect_as_caller(world.port) as sock:
                    sock.send(PROMPT_REQUEST)
                    await until(lambda: bool(world.runs()))
                    await until(lambda: any(each.run_ends for each in world.engines))
                    await anyio.sleep(STARTED_S)
                    world.state.leaving = True
                    world.state.active_requests.end_for_stop(
                        anyio.current_time() + LAST_EVENTS_S
                    )
                    caller_reads.set()
                    return await read_until(sock, STREAM_END)

        with mock.patch.object(HttpReplyWriter, "send", send_later):
            self.assertEqual(anyio.run(run).count(b"data:"), event_count)


class LateStopTests(unittest.TestCase):
    # How long after its signal the stop begins.
    @parameterized.expand([("in_time", 0.0), ("late", 0.6), ("very_late", 1.5)])
    def test_stop_that_begins_late_ends_within_the_grace_of_its_signal(
        self, _name: str, late_s: float
    ) -> None:
        world = open_harness()
        for each in world.engines:
            each.event_count = 100_000

        async def run() -> None:
            async with running_gateway(world):
                world.state.settings = replace(
                    world.state.settings, stop_grace_s=GRACE_S
                )
                with connect_as_caller(world.port) as sock:
                    sock.send(PROMPT_REQUEST)
                    await until(lambda: bool(world.runs()))
                    now = anyio.current_time()
                    with anyio.fail_after(GRACE_S - late_s):
                        await drain(world.state, lambda: None, now - late_s)

        anyio.run(run)

    # What a caller has sent when the process goes on, whether the engines have room and
    # the status that the caller gets.
    @parameterized.expand(
        [
            ("waiting_in_line", PROMPT_REQUEST, False, 503),
            ("sent_and_not_repeatable", POST_REQUEST, True, 502),
            ("partly_read", POST_REQUEST[:-1], True, 503),
            ("answer_in_a_socket", PROMPT_REQUEST, True, 200),
        ]
    )
    def test_process_that_stood_still_beyond_its_end_still_answers(
        self, _name: str, sent: bytes, has_room: bool, status: int
    ) -> None:
        world = open_harness()
        for each in world.engines:
            each.event_count = EVENTS_OF_A_LONG_STREAM
        caller_reads = anyio.Event()
        send = HttpReplyWriter.send

        async def send_later(
            writer: HttpReplyWriter, events: tuple[StreamEvent, ...]
        ) -> None:
            if not caller_reads.is_set():
                await caller_reads.wait()
            await send(writer, events)

        async def run() -> bytes:
            async with running_gateway(world):
                world.state.settings = replace(
                    world.state.settings, stop_grace_s=LONGER_GRACE_S
                )
                if not has_room:
                    fill_engines(world)
                sock = connect_as_caller(world.port)
                sock.send(sent)
                await until(lambda: not world.state.caller_connections.waiting)
                await anyio.sleep(ANSWERED_S)
                caller_reads.set()
                signalled_at = anyio.current_time() - STOOD_STILL_S
                with anyio.fail_after(LONGER_GRACE_S - STOOD_STILL_S):
                    await drain(world.state, lambda: None, signalled_at)
            # The process has ended.
            with sock:
                return await read_to_end(sock)

        with mock.patch.object(HttpReplyWriter, "send", send_later):
            received = anyio.run(run)
        self.assertTrue(received.startswith(b"HTTP/1.1 %d" % status), received)
        if status == 200:
            self.assertTrue(received.endswith(STREAM_END))


class LateStreamTests(unittest.TestCase):
    # When the last bytes of a chunked body arrive, as a share of the grace, whether the
    # caller's deadline comes before the final answers, and the status.
    @parameterized.expand(
        [
            ("before_idle_connections_close", 0.35, False, 503),
            ("after_idle_connections_close", 0.45, False, 503),
            ("near_the_end", 0.8, False, 503),
            ("with_a_near_deadline", 0.45, True, 200),
        ]
    )
    def test_stream_that_may_outlast_the_stop_is_refused_unrun_after_its_begin(
        self, _name: str, share: float, has_near_deadline: bool, status: int
    ) -> None:
        world = open_harness()
        deadline = b"X-Agatehoist-Deadline-Ms: %d\r\n" % (
            (NEAR_DEADLINE_SHARE if has_near_deadline else 10) * GRACE_S * MS_PER_S
        )

        async def run() -> bytes:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                for _ in range(MIN_SAMPLES):
                    await world.ask_prompt("/credit/1")
                for engine in world.engines:
                    # Answers have just become longer than those before.
                    engine.event_count = 100_000
                world.state.settings = replace(
                    world.state.settings, stop_grace_s=GRACE_S
                )
                sock = connect_as_caller(world.port)
                sock.send(CHUNKED_HEAD + deadline + b"\r\n5\r\nhel")
                await until(lambda: not world.state.caller_connections.waiting)
                task_group.start_soon(
                    send_later, sock, b"lo\r\n0\r\n\r\n", share * GRACE_S
                )
                await drain(world.state, lambda: None, anyio.current_time())
            received = b""
            with sock, suppress(ConnectionResetError):
                while data := await read_piece(sock):
                    received += data
            return received

        received = anyio.run(run)
        self.assertTrue(received.startswith(b"HTTP/1.1 %d" % status), received)
        late_runs = sum(len(each.runs) for each in world.engines) - MIN_SAMPLES
        self.assertEqual(late_runs, int(status == 200))


class LateRequestTests(unittest.TestCase):
    # How long a call takes, what a caller sends before the stop and, so many seconds
    # after its begin, later, the status of the last answer and the runs of the call.
    @parameterized.expand(
        [
            (
                "last_byte_in_time",
                0.2,
                POST_REQUEST[:-1],
                POST_REQUEST[-1:],
                0.3,
                200,
                1,
            ),
            ("last_byte_late", 1.5, POST_REQUEST[:-1], POST_REQUEST[-1:], 1.4, 503, 0),
            ("behind_a_stream", 1.5, PROMPT_REQUEST, POST_REQUEST, 0.1, 503, 0),
        ]
    )
    def test_request_that_comes_late_in_the_grace_ends_in_it_or_is_not_run(
        self,
        _name: str,
        call_s: float,
        first: bytes,
        later: bytes,
        at_s: float,
        status: int,
        runs: int,
    ) -> None:
        world = open_harness()
        for application in world.applications:
            application.faults = []
            application.queue_s = call_s
        for engine in world.engines:
            engine.event_count = EVENTS_OF_A_LONG_STREAM

        async def run() -> bytes:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                await learn_calls(world)
                world.state.settings = replace(
                    world.state.settings, stop_grace_s=GRACE_S
                )
                sock = connect_as_caller(world.port)
                sock.send(first)
                await until(lambda: not world.state.caller_connections.waiting)
                await anyio.sleep(STARTED_S)
                task_group.start_soon(send_later, sock, later, at_s)
                await drain(world.state, lambda: None, anyio.current_time())
            with sock:
                return await read_to_end(sock)

        *_, last = anyio.run(run).split(STREAM_END)
        self.assertTrue(last.startswith(b"HTTP/1.1 %d" % status), last)
        calls = sum(len(each.runs) for each in world.applications)
        self.assertEqual(calls - MIN_SAMPLES, runs)
