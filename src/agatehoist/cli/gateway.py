"""Command that runs a gateway on the users' platform.

This isn't the platform of the operators' commands, which stores the configuration.
"""

from __future__ import annotations

import gc
import os
from functools import partial
from pathlib import Path

import anyio

from agatehoist.cli.commands import COMMANDS
from agatehoist.gateway.app import SettingsSource, run_gateway
from agatehoist.observability.logs import configure_json_logs
from agatehoist.platform.adapter import UsersPlatform
from agatehoist.platform.names import SETTINGS_VARIABLE
from agatehoist.platform.settings_file import load_settings
from agatehoist.platform.store import PlatformStore


@COMMANDS.register("gateway")
def gateway(settings: str = "", log_level: str = "info", metrics_port: int = 0) -> None:
    """Run a gateway with the platform's settings file."""
    path = Path(settings or os.environ.get(SETTINGS_VARIABLE, ""))
    gateway_settings = load_settings(path)
    configure_json_logs(log_level, gateway_settings.node)
    make_store = partial(PlatformStore, gateway_settings.store)
    # The gateway reads the file again on SIGHUP or when it changes.
    source = SettingsSource(path, load_settings)
    anyio.run(
        run_gateway, gateway_settings, UsersPlatform(), make_store, source, metrics_port
    )
    # The interpreter searches all objects for garbage as it ends, which may take longer
    # on a busy machine than is left of the grace.
    gc.freeze()
