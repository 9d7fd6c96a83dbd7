"""Tests of the signals that end a process."""

from __future__ import annotations

import os
import signal
import time
import unittest

import anyio
import anyio.lowlevel
from parameterized import parameterized

from agatehoist.core.signals import STOP_SIGNALS, stop_signals

BUSY_S = 0.4
TOLERANCE_S = 0.1


class StopSignalTests(unittest.TestCase):
    def setUp(self) -> None:
        # They are ignored after a stop.
        for each in STOP_SIGNALS:
            self.addCleanup(signal.signal, each, signal.getsignal(each))

    # The signals and how long the turn lasts in which each arrives.
    @parameterized.expand(
        [
            ("idle_process", (signal.SIGTERM,), 0.0),
            ("busy_process", (signal.SIGTERM,), BUSY_S),
            ("interrupt", (signal.SIGINT,), BUSY_S),
            ("second_signal", (signal.SIGTERM, signal.SIGTERM), BUSY_S),
        ]
    )
    def test_stop_counts_from_the_first_signal_and_not_from_the_next_turn(
        self, _name: str, numbers: tuple[signal.Signals, ...], busy_s: float
    ) -> None:
        async def run() -> float:
            async with stop_signals() as stop:
                await anyio.lowlevel.checkpoint()
                sent_at = anyio.current_time()
                for number in numbers:
                    os.kill(os.getpid(), number)
                    busy_until = time.monotonic() + busy_s
                    while time.monotonic() < busy_until:
                        pass
                return await stop.wait() - sent_at

        self.assertLess(anyio.run(run), TOLERANCE_S)
