"""Signals that end a process."""

from __future__ import annotations

import math
import signal
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Tell when the first signal to stop arrived, in event loop time."""

    def __init__(self) -> None:
        self._arrived = anyio.Event()
        self._arrived_at = math.inf

    async def wait(self) -> float:
        """Wait for the signal and return when it arrived."""
        await self._arrived.wait()
        return self._arrived_at

    async def _receive(self) -> None:
        try:
            with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
                for each in STOP_SIGNALS:
                    # The receiver gets its signals by the wakeup descriptor, in the
                    # next turn of the event loop; a handler runs in the middle of one.
                    signal.signal(each, self._note_arrival)
                    signal.siginterrupt(each, False)
                async for _ in signals:
                    self._arrived.set()
        finally:
            ignore_signals(*STOP_SIGNALS)

    def _note_arrival(self, _number: int, _frame: FrameType | None) -> None:
        self._arrived_at = min(self._arrived_at, time.monotonic())


@asynccontextmanager
async def stop_signals() -> AsyncIterator[StopSignal]:
    """Yield what tells of a SIGTERM or SIGINT.

    Later signals are ignored, also after the context, so they don't interrupt the
    graceful shutdown.
    """
    stop = StopSignal()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(stop._receive)
        yield stop
        task_group.cancel_scope.cancel()


def ignore_signals(*numbers: signal.Signals) -> None:
    """Keep signals from ending a process that is about to end by itself."""
    for each in numbers:
        signal.signal(each, signal.SIG_IGN)
