"""Signals that end a process."""

from __future__ import annotations

import signal

import anyio


async def wait_for_signal() -> None:
    """Return once the process is asked to stop."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
