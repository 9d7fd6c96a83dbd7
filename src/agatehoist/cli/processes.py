"""Commands that run the processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.core.listening import ListenError
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
        _, others = group.split(ListenError)
        if others is not None:
            raise
        raise _first(group) from None


def _first(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
