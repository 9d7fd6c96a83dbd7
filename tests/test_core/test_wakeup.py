"""Tests of the event that wakes a periodic task."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from agatehoist.core.wakeup import Wakeup

LONG_TIMEOUT_S = 20.0


class WakeupTests(unittest.TestCase):
    @parameterized.expand([("before", True, LONG_TIMEOUT_S), ("never", False, 0.01)])
    def test_wait_returns_on_notification_or_timeout(
        self, _name: str, notified: bool, timeout_s: float
    ) -> None:
        async def run() -> None:
            wakeup = Wakeup()
            if notified:
                wakeup.set()
            with anyio.fail_after(LONG_TIMEOUT_S / 2):
                await wakeup.wait(timeout_s)

        anyio.run(run)

    def test_notification_ends_only_one_wait(self) -> None:
        async def run() -> None:
            wakeup = Wakeup()
            wakeup.set()
            await wakeup.wait(LONG_TIMEOUT_S)
            with anyio.move_on_after(0.01) as scope:
                await wakeup.wait(LONG_TIMEOUT_S)
            self.assertTrue(scope.cancelled_caught)

        anyio.run(run)
