"""Tests of requests that arrive as their connection is about to be closed."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.gateway.drain import drain
from agatehoist.stopping import schedule
from standins.users_platform.harness import (
    GatewayHarness,
    running_gateway,
    until,
)
from standins.users_platform.loopback import HOST
from tests.test_gateway.callers import (
    CLOSE,
    HEADERS,
    LAST_REQUEST,
    POST_REQUEST,
    PROMPT_REQUEST,
    REQUEST,
    STREAM_END,
    connect_as_caller,
    read_to_end,
    read_until,
    send_later,
    slow_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Callable

LAST_PROMPT_REQUEST = PROMPT_REQUEST.replace(b"Host: ", CLOSE + b"Host: ")
LAST_POST_REQUEST = POST_REQUEST.replace(b"Host: ", CLOSE + b"Host: ")
LONG_BODY_HEAD = (
    b"POST /post/1 HTTP/1.1\r\nContent-Length: 200000\r\n" + HEADERS + b"\r\n"
)
LONG_HEADERS = b"GET /look/1 HTTP/1.1\r\n" + HEADERS + b"X-Long: "
MORE_BYTES = b"x" * 200_000
LATER_S = 0.2
# Longer than the lowered limits.
CHANGE_TO_REQUEST_S = 0.6
# As long as the change and the time after it.
LONG_STREAM_EVENTS = 80
# Drains that have nothing to wait for end within this time.
PROMPT_END_S = 1.0


class StopTests(unittest.TestCase):
    # The pieces of a request that arrive as idle connections are closed, and later.
    @parameterized.expand(
        [
            ("whole", REQUEST, b""),
            ("first_byte", REQUEST[:1], REQUEST[1:]),
            ("all_but_the_last_byte", REQUEST[:-1], REQUEST[-1:]),
        ]
    )
    def test_request_that_arrives_as_idle_connections_are_closed_is_answered(
        self, _name: str, first: bytes, later: bytes
    ) -> None:
        async def run() -> bytes:
            world = GatewayHarness()
            async with running_gateway(world), anyio.create_task_group() as task_group:
                sock = connect_as_caller(world.port)
                await until(lambda: bool(world.state.caller_connections.waiting))
                with mock.patch.object(schedule, "IDLE_CLOSE_DELAY_S", 0.0):
                    task_group.start_soon(send_later, sock, later, LATER_S)
                    await drain(
                        world.state, lambda: sock.send(first), anyio.current_time()
                    )
            # The process has ended.
            with sock:
                return await read_to_end(sock)

        received = anyio.run(run)
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        self.assertIn(b"connection: close", received.lower())

    # Whether the second request is sent with the first one or after its answer.
    @parameterized.expand([("pipelined", True), ("on_kept_connection", False)])
    def test_request_behind_an_answer_that_announced_no_close_is_answered(
        self, _name: str, is_pipelined: bool
    ) -> None:
        async def run() -> bytes:
            world = GatewayHarness()
            async with running_gateway(world):
                with connect_as_caller(world.port) as sock:
                    sock.send(PROMPT_REQUEST + (REQUEST if is_pipelined else b""))
                    received = await read_until(sock, b"data: t1\n")
                    world.state.leaving = True
                    if not is_pipelined:
                        received += await read_until(sock, STREAM_END)
                        sock.send(REQUEST)
                    return received + await read_to_end(sock)

        first, _, second = anyio.run(run).partition(STREAM_END)
        self.assertNotIn(b"connection: close", first.lower())
        self.assertTrue(second.startswith(b"HTTP/1.1 200"), second)
        self.assertIn(b"connection: close", second.lower())

    def test_pipelined_requests_that_have_been_read_in_a_stop_are_answered(
        self,
    ) -> None:
        async def run() -> bytes:
            world = GatewayHarness()
            async with running_gateway(world):
                world.state.leaving = True
                with connect_as_caller(world.port) as sock:
                    sock.send(REQUEST * 3)
                    return await read_to_end(sock)

        received = anyio.run(run)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(received.lower().count(b"connection: close"), 1)

    # What a caller sends as idle connections are closed.
    @parameterized.expand([("idle", b""), ("empty_line", b"\r\n")])
    def test_drain_ends_at_once_without_requests(self, _name: str, sent: bytes) -> None:
        async def run() -> None:
            world = GatewayHarness()
            async with running_gateway(world):
                sock = connect_as_caller(world.port)
                await until(lambda: bool(world.state.caller_connections.waiting))
                with (
                    sock,
                    mock.patch.object(schedule, "IDLE_CLOSE_DELAY_S", 0.0),
                    anyio.fail_after(PROMPT_END_S),
                ):
                    await drain(
                        world.state, lambda: sock.send(sent), anyio.current_time()
                    )

        anyio.run(run)


def apply_other_addresses(world: GatewayHarness) -> None:
    """Apply settings with other listen addresses, as after a SIGHUP."""
    other = Address(HOST, 2)
    settings = replace(world.state.settings, front=other, ready=other, inner=other)
    world.state.apply_settings(settings)


def lower_limits(world: GatewayHarness) -> None:
    """Put a configuration with lower limits in force."""
    limits = {
        "MaxHeaderBytes": 1024,
        "MaxBodyBytes": 1024,
        "HeaderTimeoutMs": 300,
        "IdleTimeoutMs": 300,
    }
    world.store.put("config", "main", slow_configuration(version=4, Limits=limits))


def remove_limits(world: GatewayHarness) -> None:
    """Put a configuration without limits in force."""
    changed = slow_configuration(version=4)
    del changed["Limits"]
    world.store.put("config", "main", changed)


class ChangeTests(unittest.TestCase):
    # What a caller has sent before a change, and what it sends 0.5 s after it.
    @parameterized.expand(
        [
            (f"{change.__name__}_{name}", change, before, after)
            for change in (apply_other_addresses, lower_limits, remove_limits)
            for name, before, after in (
                ("idle", b"", LAST_REQUEST),
                ("before_last_byte", LAST_POST_REQUEST[:-1], b"o"),
                ("during_answer", LAST_PROMPT_REQUEST, b""),
            )
        ]
    )
    def test_change_of_settings_or_limits_cuts_no_connection(
        self,
        _name: str,
        change: Callable[[GatewayHarness], None],
        before: bytes,
        after: bytes,
    ) -> None:
        async def run() -> bytes:
            world = GatewayHarness()
            world.store.put("config", "main", slow_configuration())
            for each in world.engines:
                each.event_count = LONG_STREAM_EVENTS
            async with running_gateway(world):
                with connect_as_caller(world.port) as sock:
                    sock.send(REQUEST)
                    received = await read_until(sock, b"r1 by application")
                    sock.send(before)
                    await anyio.sleep(LATER_S)
                    change(world)
                    await anyio.sleep(CHANGE_TO_REQUEST_S)
                    sock.send(after)
                    return received + await read_to_end(sock)

        received = anyio.run(run)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2, received)


class UnreadInputTests(unittest.TestCase):
    # What a caller sends in one go, more than is read before its connection is closed.
    @parameterized.expand(
        [
            ("bytes_behind_the_last_request", LAST_REQUEST + MORE_BYTES, b"200"),
            ("body_over_the_limit", LONG_BODY_HEAD + MORE_BYTES, b"413"),
            ("headers_over_the_limit", LONG_HEADERS + MORE_BYTES, b"431"),
            ("no_request", b"?\r\n\r\n" + MORE_BYTES, b"400"),
        ]
    )
    def test_unread_bytes_do_not_reset_the_connection_under_its_answer(
        self, _name: str, sent: bytes, status: bytes
    ) -> None:
        async def run() -> bytes:
            world = GatewayHarness()
            async with running_gateway(world):
                with connect_as_caller(world.port) as sock:
                    sock.send(sent)
                    return await read_to_end(sock)

        received = anyio.run(run)
        self.assertTrue(received.startswith(b"HTTP/1.1 " + status), received)


class EmptyLineTests(unittest.TestCase):
    # What a caller sends with its first request, while it is answered and with its
    # second request.
    @parameterized.expand(
        [
            ("with_the_request", b"\r\n", b"", b""),
            ("during_the_answer", b"", b"\r\n", b""),
            ("before_the_next_request", b"", b"", b"\r\n"),
            ("in_two_pieces", b"", b"\r", b"\n\r\n"),
        ]
    )
    def test_request_behind_an_empty_line_is_answered(
        self, _name: str, with_first: bytes, meanwhile: bytes, with_second: bytes
    ) -> None:
        async def run() -> bytes:
            world = GatewayHarness()
            async with running_gateway(world):
                with connect_as_caller(world.port) as sock:
                    sock.send(PROMPT_REQUEST + with_first)
                    received = await read_until(sock, b"data: t1\n")
                    sock.send(meanwhile)
                    received += await read_until(sock, STREAM_END)
                    await anyio.sleep(LATER_S)
                    sock.send(with_second + LAST_REQUEST)
                    return received + await read_to_end(sock)

        received = anyio.run(run)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2, received)
        self.assertEqual(received.count(b"HTTP/1.1 "), 2, received)
