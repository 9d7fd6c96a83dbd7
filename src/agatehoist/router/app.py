"""Startup and shutdown of a router process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketListener

from agatehoist.core.clock import SystemClock
from agatehoist.core.signals import stop_signals
from agatehoist.core.sockets import open_listening_socket
from agatehoist.frontend.app import make_app
from agatehoist.gossip.runtime import run_gossip
from agatehoist.gossip.server import serve_peer
from agatehoist.observability.http import http_server
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.connection import warn_without_keys
from agatehoist.router.state import RouterState
from agatehoist.storage.client import PlatformClient

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.settings.types import RouterSettings

logger = get_logger("router")


async def run_router(settings: RouterSettings) -> None:
    """Serve callers until a stop signal, then finish the requests in flight.

    Raises ListenError if the address can't be bound.
    """
    # The inner address is for connections of other agatehoist processes.
    listener = await _listen(settings.inner)
    platform = PlatformClient(settings.platform)
    async with stop_signals() as stop, anyio.create_task_group() as task_group:
        state = RouterState(settings, SystemClock(), task_group, platform)
        if listener is not None:
            task_group.start_soon(listener.serve, partial(serve_peer, state.gossip))
        task_group.start_soon(run_gossip, state.gossip, platform, settings.peers)
        warn_without_keys(state.inner_keys)
        async with http_server(make_app(state), settings.http):
            logger.info("ready", address=str(settings.http))
            await stop.wait()
            await _drain(state)
        task_group.cancel_scope.cancel()
    await platform.aclose()
    logger.info("stopped")


async def _listen(address: Address | None) -> SocketListener | None:
    if address is None:
        return None
    listening = open_listening_socket(address.host, address.port)
    return await SocketListener.from_socket(listening)


async def _drain(state: RouterState) -> None:
    """Refuse new requests and wait until those in flight have ended."""
    logger.info("leaving", in_flight=state.in_flight.count)
    state.leaving = True
    await state.in_flight.wait_idle()
