"""Tests of what is held for callers that read slowly, and of bodies at endpoints."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.body_bytes import BodyBytes
from agatehoist.http1 import channel
from standins.users_platform import endpoint
from standins.users_platform.harness import GatewayHarness, running_gateway, until
from tests.test_gateway.callers import (
    POST_REQUEST,
    PROMPT_REQUEST,
    REQUEST,
    STREAM_END,
    read_to_end,
    read_until,
    slow_configuration,
)
from tests.test_gateway.test_slow_callers import (
    connect_with_a_small_window,
    limit_send_buffer,
)

ANSWER_BYTES = 400_000
LARGE_BUDGET_BYTES = 16 * 1024 * 1024
SMALL_BUDGET_BYTES = 50_000
BODY_BYTES = 1000
UNREAD_TIMEOUT_MS = 300


class SlowReaderTests(unittest.TestCase):
    # What a caller sends, the answer of the endpoint and the bytes that may be held.
    @parameterized.expand(
        [
            ("stream", PROMPT_REQUEST, "flood", LARGE_BUDGET_BYTES),
            ("reply", POST_REQUEST, "large", LARGE_BUDGET_BYTES),
            ("stream_over_the_budget", PROMPT_REQUEST, "flood", SMALL_BUDGET_BYTES),
            ("reply_over_the_budget", POST_REQUEST, "large", SMALL_BUDGET_BYTES),
        ]
    )
    def test_endpoint_is_read_while_the_caller_reads_nothing(
        self, _name: str, sent: bytes, answer: str, budget_bytes: int
    ) -> None:
        """An answer that stays unread is cut off by its endpoint.

        One that doesn't fit must not look complete.
        """
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.endpoints():
            each.faults = [answer]

        async def run() -> bytes:
            async with running_gateway(world):
                callers = world.state.caller_connections
                callers.backlog_budget.limit_bytes = budget_bytes
                with connect_with_a_small_window(world.port) as sock:
                    sock.send(sent)
                    await until(lambda: any(e.run_ends for e in world.endpoints()))
                    if budget_bytes == SMALL_BUDGET_BYTES:
                        with self.assertRaises(ConnectionResetError):
                            await read_to_end(sock)
                        return b""
                    await until(lambda: callers.backlog_budget.held_bytes > 0)
                    end = STREAM_END if answer == "flood" else b"y" * ANSWER_BYTES
                    received = await read_until(sock, end)
                    await until(lambda: not callers.backlog_budget.held_bytes)
                    return received

        events = ANSWER_BYTES // len(endpoint.FLOOD_DATA)
        with (
            mock.patch.object(channel, "configure_socket", limit_send_buffer),
            mock.patch.object(endpoint, "LARGE_ANSWER_BYTES", ANSWER_BYTES),
            mock.patch.object(endpoint, "FLOOD_EVENTS", events),
        ):
            received = anyio.run(run)
        if budget_bytes == LARGE_BUDGET_BYTES:
            self.assertGreater(len(received), ANSWER_BYTES)

    def test_no_answer_follows_one_that_was_cut(self) -> None:
        """A caller would take the next answer for the rest of the cut one."""
        world = GatewayHarness()
        world.store.put("config", "main", slow_configuration())
        for each in world.endpoints():
            each.faults = ["large"]

        async def run() -> None:
            async with running_gateway(world):
                callers = world.state.caller_connections
                with connect_with_a_small_window(world.port) as sock:
                    sock.send(POST_REQUEST + REQUEST)
                    await until(lambda: callers.backlog_budget.held_bytes > 0)
                    await anyio.sleep(2 * UNREAD_TIMEOUT_MS / MS_PER_S)
                    with self.assertRaises(ConnectionResetError):
                        await read_to_end(sock)

        with (
            mock.patch.object(channel, "configure_socket", limit_send_buffer),
            mock.patch.object(channel, "UNREAD_TIMEOUT_MS", UNREAD_TIMEOUT_MS),
            mock.patch.object(endpoint, "LARGE_ANSWER_BYTES", ANSWER_BYTES),
        ):
            anyio.run(run)
        self.assertEqual([len(each.runs) for each in world.applications], [1, 0])


class BodyBytesTests(unittest.TestCase):
    # Bytes held at the endpoint, of the next body, and whether it may be sent there.
    @parameterized.expand(
        [
            ("fits", [600], 400, True),
            ("too_large_together", [600], 401, False),
            ("alone", [], 1500, True),
            ("no_body", [1500], 0, True),
        ]
    )
    def test_bodies_at_an_endpoint_are_bounded(
        self, _name: str, held: list[int], count: int, expected: bool
    ) -> None:
        """An endpoint crashes if the requests that it holds exceed its memory."""
        bodies = BodyBytes(BODY_BYTES)
        contexts = [bodies.hold("e@1", each) for each in held]
        self.assertEqual(bodies.has_room("e@1", count), expected)
        for context in contexts:
            context.close()
        self.assertTrue(bodies.has_room("e@1", BODY_BYTES))

    def test_large_bodies_are_sent_to_other_endpoints(self) -> None:
        world = GatewayHarness()
        body = b"y" * BODY_BYTES

        async def run() -> list[int]:
            async with running_gateway(world):
                world.state.body_bytes = BodyBytes(BODY_BYTES)
                for each in world.applications:
                    each.queue_s = 0.5
                statuses: list[int] = []

                async def ask(number: int) -> None:
                    name = f"large{number}"
                    reply = await world.ask(
                        "/post/1", "POST", body, x_agatehoist_request_id=name
                    )
                    statuses.append(reply.head.status)

                async with anyio.create_task_group() as task_group:
                    for number in range(3):
                        task_group.start_soon(ask, number)
                return statuses

        self.assertEqual(sorted(anyio.run(run)), [200, 200, 503])
        self.assertEqual([len(each.runs) for each in world.applications], [1, 1])
