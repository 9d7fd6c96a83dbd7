"""Tasks whose faults end neither the process nor other tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

logger = get_logger("gateway")

# A part that fails again and again must not use up the processor.
RESTART_S = 0.5


async def guarded(run: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Run a task and log the fault that ends it."""
    try:
        await run(*arguments)
    except Exception:
        logger.exception("task failed", task=run.__qualname__)


async def restarted(run: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Run a part of the process, anew after each fault, until cancelled."""
    while True:
        await guarded(run, *arguments)
        await anyio.sleep(RESTART_S)
