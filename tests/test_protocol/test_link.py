"""Tests of the watch over a link's peer."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.protocol import link as link_module
from agatehoist.protocol.link import Link
from tests.test_protocol.test_authentication import SIDECAR
from tests.test_protocol.test_codec import ATTEMPT

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

INTERVAL_S = 0.01

# The sleep of the tests themselves, which isn't counted.
pause = anyio.sleep


class SilentConnection:
    """Take messages and never answer."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.closed = anyio.Event()

    async def send(self, message: object) -> None:
        self.sent.append(message)

    async def receive(self) -> Any:
        await self.closed.wait()
        raise link_module.ConnectionLostError("closed")

    async def aclose(self) -> None:
        self.closed.set()


class LinkTests(unittest.TestCase):
    @parameterized.expand([("idle", False, 0), ("owes_an_answer", True, 1)])
    def test_only_a_peer_that_owes_answers_is_watched(
        self, _name: str, owes: bool, fewest_wakes: int
    ) -> None:
        async def scenario(link: Link, wakes: Callable[[], int]) -> None:
            if owes:
                with link.subscribe(ATTEMPT):
                    await pause(20 * INTERVAL_S)
            else:
                await pause(20 * INTERVAL_S)
            self.assertEqual(wakes() >= 1, fewest_wakes >= 1)

        self._run(scenario)

    def test_silence_is_seen_again_after_an_idle_time(self) -> None:
        async def scenario(link: Link, _wakes: Callable[[], int]) -> None:
            with link.subscribe(ATTEMPT):
                await pause(2 * INTERVAL_S)
            await pause(20 * INTERVAL_S)
            self.assertFalse(link.closed)
            with (
                link.subscribe(ATTEMPT) as messages,
                anyio.fail_after(5),
                self.assertRaises(link_module.ConnectionLostError),
            ):
                await link_module.receive_from(messages)

        self._run(scenario)

    def _run(
        self, scenario: Callable[[Link, Callable[[], int]], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            wakes = 0

            async def counted(delay: float) -> None:
                nonlocal wakes
                wakes += 1
                await pause(delay)

            fake: Any = SilentConnection()
            link = Link(fake, SIDECAR)
            with mock.patch.object(anyio, "sleep", counted):
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(link.run)
                    await scenario(link, lambda: wakes)
                    task_group.cancel_scope.cancel()

        with (
            mock.patch.object(link_module, "PING_INTERVAL_S", INTERVAL_S),
            mock.patch.object(link_module, "PONG_TIMEOUT_S", 4 * INTERVAL_S),
        ):
            anyio.run(main)
