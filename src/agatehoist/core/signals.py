"""Signals that end a process."""

from __future__ import annotations

import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def stop_signals() -> AsyncIterator[anyio.Event]:
    """Yield an event that is set on SIGTERM or SIGINT.

    Later signals are ignored, so they don't interrupt the graceful shutdown.
    """
    stop = anyio.Event()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_receive_signals, stop)
        yield stop
        task_group.cancel_scope.cancel()


async def _receive_signals(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
