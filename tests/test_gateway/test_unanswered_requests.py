"""Tests of requests read whole that end without a reply, and of their record."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import anyio
from parameterized import parameterized
from structlog.testing import capture_logs

from agatehoist.attempts.machine import RequestMachine
from agatehoist.core.registry import Registry
from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.load import Load
from agatehoist.gateway import request_driver
from agatehoist.gateway.ingress import HttpReplyWriter
from agatehoist.gateway.offer_search import OfferSearch
from agatehoist.gateway.request_driver import RequestDriver
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.pool import ConnectionPool
from agatehoist.platform.adapter import UsersPlatform
from standins.users_platform.harness import (
    TIMEOUT_S,
    GatewayHarness,
    running_gateway,
    until,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

CUTS: Registry[Callable[[GatewayHarness, TaskGroup], Awaitable[None]]] = Registry("cut")


@CUTS.register("broken off")
async def break_off(world: GatewayHarness, _callers: TaskGroup) -> None:
    for each in world.engines:
        each.faults = ["cut"]
    await ask_in_vain(world)


@CUTS.register("caller gone")
async def leave(world: GatewayHarness, _callers: TaskGroup) -> None:
    for each in world.engines:
        each.event_count = 10_000
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(ask_in_vain, world)
        await until(lambda: any(each.active for each in world.engines))
        task_group.cancel_scope.cancel()
    await until(lambda: not world.state.in_flight.count)


@CUTS.register("exception")
async def fail(world: GatewayHarness, _callers: TaskGroup) -> None:
    # A reply that can't even be refused.
    failure = ValueError("unexpected")
    with (
        patch.object(RequestDriver, "run", side_effect=failure),
        patch.object(HttpReplyWriter, "refuse", side_effect=failure),
    ):
        await ask_in_vain(world)


@CUTS.register("stopped")
async def stop(world: GatewayHarness, callers: TaskGroup) -> None:
    for each in world.engines:
        each.faults = ["mute"]
    callers.start_soon(ask_in_vain, world)
    await until(lambda: any(each.arrivals for each in world.engines))


async def ask_in_vain(world: GatewayHarness) -> None:
    try:
        await world.ask_prompt("/credit/1")
    except ConnectionFailedError:
        return
    raise AssertionError("the request got a reply")


class UnansweredRequestTests(unittest.TestCase):
    @parameterized.expand([(cause,) for cause in CUTS])
    def test_request_without_a_reply_leaves_its_id_and_cause(self, cause: str) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with anyio.create_task_group() as callers, running_gateway(world):
                await CUTS[cause](world, callers)

        with capture_logs() as logs:
            anyio.run(run)
        lines = [each for each in logs if each["event"] == "request unanswered"]
        self.assertEqual([(e["request"], e["cause"]) for e in lines], [("r1", cause)])
        self.assertLess(lines[0]["open_ms"], TIMEOUT_S * MS_PER_S)
        self.assertEqual(lines[0]["discarded_bytes"], 0)

    def test_answered_and_refused_requests_leave_no_such_line(self) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                await world.ask_prompt("/credit/1")
                await world.ask("/look/1")
                await world.ask("/nothing/")

        with capture_logs() as logs:
            anyio.run(run)
        self.assertNotIn("request unanswered", [each["event"] for each in logs])


class InternalFaultTests(unittest.TestCase):
    # The status None means that the caller's connection was reset.
    @parameterized.expand(
        [
            ("envelope", UsersPlatform, "read_envelope", 503, 0),
            ("search", OfferSearch, "find", 503, 0),
            ("dispatch", request_driver, "make_dispatch", 503, 0),
            ("load", Load, "wait_s", 503, 0),
            ("machine", RequestMachine, "handle", 500, 0),
            ("attempt", ConnectionPool, "acquire", 500, 0),
            ("head_of_the_reply", UsersPlatform, "returned_headers", 500, 1),
            ("start_of_the_reply", HttpReplyWriter, "start", 500, 1),
            ("reply_under_way", HttpReplyWriter, "send", None, 1),
            ("end_of_the_reply", HttpReplyWriter, "finish", None, 1),
            ("record", RequestDriver, "_record_end", 200, 1),
        ]
    )
    def test_request_gets_one_reply_and_its_run_ends_after_an_exception(
        self, _name: str, owner: object, function: str, status: int | None, runs: int
    ) -> None:
        world = GatewayHarness()
        long_run = status not in {None, 200} or function == "send"
        for each in world.engines:
            each.event_count = 10_000 if long_run else 5

        async def run() -> int | None:
            async with running_gateway(world):
                failure = RuntimeError("unexpected")
                with patch.object(owner, function, side_effect=failure):
                    found = await status_of(world)
                await until(lambda: not any(each.active for each in world.engines))
                # The gateway serves on.
                for each in world.engines:
                    each.event_count = 5
                self.assertEqual(await status_of(world), 200)
                return found

        with capture_logs() as logs:
            self.assertEqual(anyio.run(run), status)
        self.assertEqual(len(world.runs()), runs + 1)
        failures = {"request failed", "attempt failed"}
        self.assertTrue(failures & {each["event"] for each in logs})


async def status_of(world: GatewayHarness) -> int | None:
    """Return the status of the reply to a stream's request, None without a reply."""
    try:
        return (await world.ask_prompt("/credit/1")).head.status
    except ConnectionFailedError:
        return None
