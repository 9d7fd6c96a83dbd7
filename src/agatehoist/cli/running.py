"""Setup and error handling of the processes that a command runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

from agatehoist.cli.exception_groups import first_error
from agatehoist.core.sockets import ListenError
from agatehoist.observability.logs import configure_key_value_logs
from agatehoist.settings.types import RouterSettings, SidecarSettings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Settings = TypeVar("Settings", RouterSettings, SidecarSettings)


def run_process(
    program: Callable[[Settings], Awaitable[None]], settings: Settings
) -> None:
    """Configure the logs and run an async program with its settings until it ends.

    Raises ListenError, or the exception group of any other errors of the program.
    """
    configure_key_value_logs(settings.log_level, settings.node.name)
    try:
        anyio.run(program, settings)
    except BaseExceptionGroup as group:
        # The operator can correct a failed bind, and needs no traceback for that.
        _, other_errors = group.split(ListenError)
        if other_errors is not None:
            raise
        raise first_error(group) from None
