"""Startup, background tasks and shutdown of a sidecar process."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketListener
from starlette.applications import Starlette

from agatehoist.core.clock import SystemClock
from agatehoist.core.signals import stop_signals
from agatehoist.core.sockets import open_listening_socket
from agatehoist.endpoints import ENDPOINT_KINDS
from agatehoist.gossip.runtime import run_gossip
from agatehoist.observability.http import health_routes, http_server
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.connection import warn_without_keys
from agatehoist.protocol.messages import Refused
from agatehoist.refusals.kinds import EndpointFailed

# Imported to register the handlers of gossip messages.
from agatehoist.sidecar import gossip_handlers  # noqa: F401
from agatehoist.sidecar.cache_events import follow_cache
from agatehoist.sidecar.drain import drain
from agatehoist.sidecar.orders import run_orders
from agatehoist.sidecar.session import serve_session
from agatehoist.sidecar.state import UNKNOWN_STATUS, SidecarState
from agatehoist.storage.client import PlatformClient

if TYPE_CHECKING:
    from agatehoist.settings.types import SidecarSettings

logger = get_logger("sidecar")

STATUS_INTERVAL_S = 0.5
ENDPOINT_FAILURE_TIMEOUT_S = 1.5
CLEANUP_INTERVAL_S = 5.0


async def run_sidecar(settings: SidecarSettings) -> None:
    """Serve routers until a stop signal, then finish the work in flight.

    Raises ListenError if an address can't be bound.
    """
    listening = open_listening_socket(settings.inner.host, settings.inner.port)
    listener = await SocketListener.from_socket(listening)
    platform = PlatformClient(settings.platform)
    client = ENDPOINT_KINDS[settings.endpoint.kind](settings.endpoint.url)
    async with stop_signals() as stop, anyio.create_task_group() as task_group:
        state = SidecarState(settings, client, SystemClock(), task_group)
        app = Starlette(routes=health_routes(lambda: state.ready))
        task_group.start_soon(listener.serve, partial(serve_session, state))
        task_group.start_soon(_watch_endpoint, state)
        task_group.start_soon(follow_cache, state)
        task_group.start_soon(run_gossip, state.gossip, platform, settings.peers)
        task_group.start_soon(state.scheduler.run)
        task_group.start_soon(_clean_up_attempts, state)
        task_group.start_soon(
            run_orders, state, platform, lambda: state.fleet.configuration
        )
        warn_without_keys(state.inner_keys)
        async with http_server(app, settings.http):
            logger.info("ready", address=str(settings.inner))
            await stop.wait()
            await drain(state)
        task_group.cancel_scope.cancel()
    await client.aclose()
    await platform.aclose()
    logger.info("stopped")


async def _watch_endpoint(state: SidecarState) -> None:
    # Infinite while the endpoint answers.
    fail_executions_at = math.inf
    while True:
        await state.refresh_status()
        now = state.clock.now()
        is_unknown = state.status is UNKNOWN_STATUS
        fail_executions_at = (
            min(fail_executions_at, now + ENDPOINT_FAILURE_TIMEOUT_S)
            if is_unknown
            else math.inf
        )
        # An engine whose answers go on is alive, whatever delays its status.
        alive_until = state.answered_at + ENDPOINT_FAILURE_TIMEOUT_S
        if now >= max(fail_executions_at, alive_until):
            _fail_executions(state)
        await anyio.sleep(STATUS_INTERVAL_S)


def _fail_executions(state: SidecarState) -> None:
    """Fail the running attempts, so that routers can retry them on other endpoints."""
    refusal = EndpointFailed.refuse(
        "the endpoint stopped answering status requests"
    ).refusal
    for attempt_id, execution in state.executions_by_id.items():
        if execution.final_message is None:
            execution.finish(Refused(attempt_id, refusal))
            execution.scope.cancel()


async def _clean_up_attempts(state: SidecarState) -> None:
    """Remove old ledger entries and answers of attempts, and cancel abandoned ones."""
    while True:
        await anyio.sleep(CLEANUP_INTERVAL_S)
        now = state.clock.now()
        state.ledger.sweep(now)
        for attempt_id, execution in tuple(state.executions_by_id.items()):
            if execution.is_expired(now):
                del state.executions_by_id[attempt_id]
            elif execution.is_abandoned(now):
                execution.scope.cancel()
