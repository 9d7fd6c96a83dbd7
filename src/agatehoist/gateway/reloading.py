"""Settings that change while the process runs."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from agatehoist.errors import AgatehoistError
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from agatehoist.gateway.settings import GatewaySettings
    from agatehoist.gateway.state import GatewayState

logger = get_logger("settings")

# The file may change without a signal; what it holds isn't urgent.
LOOK_S = 1.0


async def follow_settings(
    state: GatewayState, path: Path, load: Callable[[Path], GatewaySettings]
) -> None:
    """Take changed settings, on a signal or when the file changes, until cancelled."""
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_follow_signals, state, path, load)
        # The file may have changed since the process read it to start.
        written = 0
        while True:
            await anyio.sleep(LOOK_S)
            now_written = _written_at(path)
            if now_written != written:
                written = now_written
                _reload(state, path, load)


async def _follow_signals(
    state: GatewayState, path: Path, load: Callable[[Path], GatewaySettings]
) -> None:
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            _reload(state, path, load)


def _reload(
    state: GatewayState, path: Path, load: Callable[[Path], GatewaySettings]
) -> None:
    try:
        settings = load(path)
    except (AgatehoistError, OSError) as error:
        logger.error("settings not taken", path=str(path), reason=str(error))
        return
    changed = settings != state.settings
    state.set_settings(settings)
    logger.info("settings reloaded", path=str(path), changed=changed)


def _written_at(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # A file that is being replaced is there again at the next look.
        return 0
