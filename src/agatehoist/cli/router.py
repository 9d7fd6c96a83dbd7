"""Command that runs a router."""

from __future__ import annotations

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.running import run_process
from agatehoist.router.app import run_router
from agatehoist.settings import load_file
from agatehoist.settings.types import RouterSettings


@COMMANDS.register("router")
def router(settings: str) -> None:
    """Run a router with a settings file.

    Args:
        settings: path of the settings file.
    """
    run_process(run_router, load_file(settings, RouterSettings))
