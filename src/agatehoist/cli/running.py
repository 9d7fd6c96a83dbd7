"""Running of a process by its command."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

from agatehoist.cli.groups import first_error
from agatehoist.core.listening import ListenError
from agatehoist.observability.logs import configure_key_value_logs
from agatehoist.settings.types import RouterSettings, SidecarSettings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Settings = TypeVar("Settings", RouterSettings, SidecarSettings)


def run_process(
    program: Callable[[Settings], Awaitable[None]], settings: Settings
) -> None:
    """Run a program with its settings until it ends.

    Raises ListenError and whatever else ends the program.
    """
    configure_key_value_logs(settings.log_level, settings.node.name)
    try:
        anyio.run(program, settings)
    except BaseExceptionGroup as group:
        # A failed bind is the operator's to mend, so it goes without a trace.
        _, others = group.split(ListenError)
        if others is not None:
            raise
        raise first_error(group) from None
