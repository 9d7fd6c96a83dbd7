"""Tests of waking a task."""

from __future__ import annotations

import unittest

import anyio
from parameterized import parameterized

from agatehoist.core.wakeup import Wakeup

LONG_S = 20.0


class WakeupTests(unittest.TestCase):
    @parameterized.expand([("before", True, LONG_S), ("never", False, 0.01)])
    def test_returns_on_news_or_in_time(
        self, _name: str, news: bool, timeout_s: float
    ) -> None:
        async def run() -> None:
            wakeup = Wakeup()
            if news:
                wakeup.set()
            with anyio.fail_after(LONG_S / 2):
                await wakeup.wait(timeout_s)

        anyio.run(run)

    def test_news_counts_once(self) -> None:
        async def run() -> None:
            wakeup = Wakeup()
            wakeup.set()
            await wakeup.wait(LONG_S)
            with anyio.move_on_after(0.01) as scope:
                await wakeup.wait(LONG_S)
            self.assertTrue(scope.cancelled_caught)

        anyio.run(run)
