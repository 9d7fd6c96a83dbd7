"""Commands that run the processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.observability.logs import configure_logs
from agatehoist.router.app import run_router
from agatehoist.settings import load_file
from agatehoist.settings.types import RouterSettings, SidecarSettings
from agatehoist.sidecar.app import run_sidecar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Settings = TypeVar("Settings", RouterSettings, SidecarSettings)


@COMMANDS.register("router")
def router(settings: str) -> None:
    """Run a router with a settings file."""
    _run(run_router, load_file(settings, RouterSettings))


@COMMANDS.register("sidecar")
def sidecar(settings: str) -> None:
    """Run a sidecar with a settings file."""
    _run(run_sidecar, load_file(settings, SidecarSettings))


def _run(program: Callable[[Settings], Awaitable[None]], settings: Settings) -> None:
    configure_logs(settings.log_level, settings.node.name)
    try:
        anyio.run(program, settings)
    except BaseExceptionGroup as group:
        # A failed bind is the operator's to mend, so it goes without a trace.
        bind_errors, others = group.split(OSError)
        if others is not None:
            raise
        assert bind_errors is not None
        raise OSError(_texts(bind_errors)) from group


def _texts(group: BaseExceptionGroup) -> str:
    return "; ".join(
        _texts(each) if isinstance(each, BaseExceptionGroup) else str(each)
        for each in group.exceptions
    )
