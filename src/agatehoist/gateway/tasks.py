"""Tasks whose exceptions end neither the process nor other tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = get_logger("gateway")

# Keeps a task that always fails from using up the CPU.
RESTART_DELAY_S = 0.5


async def run_logging_exceptions(
    run: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run a task and log the exception that ends it."""
    try:
        await run(*arguments)
    except Exception:
        logger.exception("task failed", task=run.__qualname__)


async def run_with_restarts(
    run: Callable[..., Awaitable[None]], *arguments: Any
) -> None:
    """Run a task and restart it whenever it ends, until cancelled."""
    while True:
        await run_logging_exceptions(run, *arguments)
        await anyio.sleep(RESTART_DELAY_S)
