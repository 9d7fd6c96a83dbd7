"""Reload of the settings file while the process runs."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.signals import ignore_signals
from agatehoist.errors import AgatehoistError
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from agatehoist.gateway.settings import GatewaySettings
    from agatehoist.gateway.state import GatewayState

logger = get_logger("settings")

# The file is polled for changes that come without a SIGHUP; they aren't urgent.
FILE_POLL_S = 1.0


async def watch_settings(
    state: GatewayState, path: Path, load: Callable[[Path], GatewaySettings]
) -> None:
    """Reload settings on SIGHUP or when the file changes, until cancelled."""
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_reload_on_signal, state, path, load)
        # 0 forces a reload: the file may have changed since it was read at the start.
        modified_ns = 0
        while True:
            await anyio.sleep(FILE_POLL_S)
            latest_modified_ns = _modification_time_ns(path)
            if latest_modified_ns != modified_ns:
                modified_ns = latest_modified_ns
                _reload(state, path, load)


async def _reload_on_signal(
    state: GatewayState, path: Path, load: Callable[[Path], GatewaySettings]
) -> None:
    try:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                _reload(state, path, load)
    finally:
        ignore_signals(signal.SIGHUP)


def _reload(
    state: GatewayState, path: Path, load: Callable[[Path], GatewaySettings]
) -> None:
    try:
        settings = load(path)
    except (AgatehoistError, OSError) as error:
        logger.error("settings rejected", path=str(path), reason=str(error))
        return
    except Exception:
        # Without this task, the next SIGHUP would end the process.
        logger.exception("settings rejected", path=str(path))
        return
    changed = settings != state.settings
    state.apply_settings(settings)
    logger.info("settings reloaded", path=str(path), changed=changed)


def _modification_time_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # A file that is being replaced exists again at the next poll.
        return 0
