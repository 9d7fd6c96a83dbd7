"""Tests of streams that their callers resume beside other software versions."""

from __future__ import annotations

import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.harness import (
    GatewayHarness,
    run_standins,
    serve_gateway,
    until,
)
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_software_versions import NEW, OLD, software_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.http1.types import Reply

EVENT_COUNT = 300
SHORT_STREAM = "/trace/short"
# The stream is under way for so long before it breaks off.
STREAMED_S = 0.6


class ResumedStreamWorld(GatewayHarness):
    """Break off a stream of the old version whose next home is of the new one."""

    def __init__(self) -> None:
        super().__init__()
        self.store.put("config", "main", slow_configuration())
        for each in self.engines:
            each.event_count = EVENT_COUNT
            each.event_counts_by_target[SHORT_STREAM] = 5

    async def begin_stream(self) -> None:
        """Begin the stream r1, and then let another engine get the new version."""
        # The next request with this prompt goes to the same engine.
        await self.ask_prompt(SHORT_STREAM, x_agatehoist_request_id="r0")
        (home,) = (each for each in self.engines if each.runs)
        self.list_endpoint(home, State="draining")
        await until(lambda: self.state.fleet.by_name[home.name].leaving)
        self.state.spawn(self._ask)
        await until(lambda: any(each.active for each in self.engines))
        await anyio.sleep(STREAMED_S)
        home.restart()
        home.software = NEW
        self.list_endpoint(home)
        await until(lambda: self.state.fleet.by_name[home.name].software == NEW)

    async def _ask(self) -> None:
        with suppress(ConnectionFailedError), anyio.move_on_after(2 * STREAMED_S):
            await self.ask_prompt("/trace/1")

    async def resume(self, **headers: str) -> Reply:
        """Resume the stream r1 as r2."""
        named = {"last_event_id": "2", "resumes": "r1"}
        return await self.ask_prompt(
            SHORT_STREAM, x_agatehoist_request_id="r2", **{**named, **headers}
        )


def play(
    world: ResumedStreamWorld,
    killed: bool,
    before: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint,
    **headers: str,
) -> Reply:
    """Break off a stream, and return the reply to its resumption.

    If its gateway is killed, the stream is resumed at one that starts after it.
    """
    replies: list[Reply] = []

    async def resume() -> None:
        await before()
        replies.append(await world.resume(**headers))

    async def run() -> None:
        async with run_standins(world) as store_port:
            async with serve_gateway(store_port) as gateway:
                world.state, world.port = gateway
                await world.begin_stream()
                if not killed:
                    await until(lambda: not any(each.active for each in world.engines))
                    await resume()
            if killed:
                async with serve_gateway(store_port, "n2") as gateway:
                    world.state, world.port = gateway
                    await resume()

    anyio.run(run)
    return replies[0]


class ResumedStreamTests(unittest.TestCase):
    @parameterized.expand([("same_gateway", False), ("after_a_kill", True)])
    def test_stream_is_not_resumed_at_another_software_version(
        self, _name: str, killed: bool
    ) -> None:
        world = ResumedStreamWorld()
        reply = play(world, killed)
        self.assertEqual(reply.head.status, 200)
        self.assertEqual(software_of(world, "r2"), {OLD})
