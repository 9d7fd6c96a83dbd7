"""Command that runs a sidecar."""

from __future__ import annotations

from agatehoist.cli.commands import COMMANDS
from agatehoist.cli.running import run_process
from agatehoist.settings import load_file
from agatehoist.settings.types import SidecarSettings
from agatehoist.sidecar.app import run_sidecar


@COMMANDS.register("sidecar")
def sidecar(settings: str) -> None:
    """Run a sidecar with a settings file.

    Args:
        settings: path of the settings file.
    """
    run_process(run_sidecar, load_file(settings, SidecarSettings))
