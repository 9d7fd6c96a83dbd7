"""Life of a router process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.configuration.effective import effective_configuration
from agatehoist.configuration.encoding import parse_record
from agatehoist.core.clock import SystemClock
from agatehoist.core.lifetime import stop_signals
from agatehoist.frontend.app import make_app
from agatehoist.observability.http import http_server
from agatehoist.observability.logs import get_logger
from agatehoist.platform.client import PlatformClient
from agatehoist.platform.errors import PlatformError
from agatehoist.protocol.connection import warn_without_keys
from agatehoist.router.state import RouterState

if TYPE_CHECKING:
    from agatehoist.settings.types import RouterSettings

logger = get_logger("router")

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "fleet"
HOSTS_INTERVAL_S = 1.0
PLATFORM_RETRY_S = 0.5


async def run_router(settings: RouterSettings) -> None:
    """Serve callers until told to stop, then finish the requests in flight.

    Raises ListenError if the address can't be bound.
    """
    platform = PlatformClient(settings.platform)
    async with stop_signals() as stop, anyio.create_task_group() as task_group:
        state = RouterState(settings, SystemClock(), task_group, platform)
        task_group.start_soon(_watch_configuration, state, platform)
        task_group.start_soon(_poll_hosts, state, platform)
        warn_without_keys(state.inner_keys)
        async with http_server(make_app(state), settings.http):
            logger.info("ready", address=str(settings.http))
            await stop.wait()
            await _drain(state)
        task_group.cancel_scope.cancel()
    await platform.aclose()
    logger.info("stopped")


async def _drain(state: RouterState) -> None:
    logger.info("leaving", in_flight=state.in_flight.count)
    state.leaving = True
    await state.in_flight.wait_idle()


async def _watch_configuration(state: RouterState, platform: PlatformClient) -> None:
    while True:
        try:
            found = await platform.watch(
                CONFIGURATION_KIND, CONFIGURATION_NAME, state.configuration.revision
            )
        except PlatformError as error:
            logger.warning("platform not reached", reason=str(error))
            await anyio.sleep(PLATFORM_RETRY_S)
            continue
        if found is not None and found.version > state.configuration.revision:
            record = parse_record(found.value, found.version)
            state.accept(effective_configuration(record, state.clock.now()))
            logger.info("configuration in force", revision=found.version)


async def _poll_hosts(state: RouterState, platform: PlatformClient) -> None:
    while True:
        try:
            state.directory.replace(await platform.hosts())
        except PlatformError as error:
            logger.warning("host list not read", reason=str(error))
        await anyio.sleep(HOSTS_INTERVAL_S)
