"""HTTP server of a stand-in that runs as its own process."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio
import hypercorn.asyncio
from hypercorn.config import Config

if TYPE_CHECKING:
    from starlette.applications import Starlette


def serve(app: Starlette, port: int) -> None:
    """Serve an application on loopback until SIGTERM or SIGINT."""
    anyio.run(_serve, app, port)


async def _serve(app: Starlette, port: int) -> None:
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.graceful_timeout = 0.5
    config.errorlog = None
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=_wait_for_signal)


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
