"""Life of a gateway process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.clock import SystemClock
from agatehoist.core.signals import stop_signals
from agatehoist.core.sockets import open_listening_socket
from agatehoist.gateway.exposing import MetricsEndpoint
from agatehoist.gateway.ingress import Ingress
from agatehoist.gateway.keeping import keep_weights
from agatehoist.gateway.nodes import follow_nodes
from agatehoist.gateway.readiness import ReadyEndpoint
from agatehoist.gateway.relaying import Relay
from agatehoist.gateway.reloading import follow_settings
from agatehoist.gateway.settings import GatewaySettings
from agatehoist.gateway.sharing import share_load
from agatehoist.gateway.state import GatewayState
from agatehoist.gateway.tasks import restarted
from agatehoist.gateway.watching import follow_store
from agatehoist.http1.channel import accept_forever
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    import socket

    from anyio.abc import TaskStatus

    from agatehoist.core.clock import Clock
    from agatehoist.gateway.types import Platform
    from agatehoist.storage.objects import ObjectStore

logger = get_logger("gateway")


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """Name the settings file and how it is read."""

    path: Path
    load: Callable[[Path], GatewaySettings]


# The platform asks once a second and takes a process out after two misses; callers
# that it sent before may still come on connections they hold.
IDLE_CLOSE_S = 3.0
# What is left of the grace when everything still open is given up.
STOP_MARGIN_S = 0.7
ORDERING_LOOK_S = 0.1


async def run_gateway(
    settings: GatewaySettings,
    platform: Platform,
    make_store: Callable[[Clock], ObjectStore],
    source: SettingsSource,
    metrics_port: int = 0,
) -> None:
    """Serve callers until told to stop, then finish the requests in flight.

    Raises ListenError if an address can't be bound.
    """
    clock = SystemClock()
    front = open_listening_socket(settings.front.host, settings.front.port)
    ready = open_listening_socket(settings.ready.host, settings.ready.port)
    async with stop_signals() as stop, anyio.create_task_group() as task_group:
        store = make_store(clock)
        # An earlier run of this process may have spent the slack of a whole window.
        slack_from = clock.now() + settings.retries.window_s
        state = GatewayState(settings, clock, platform, store, task_group, slack_from)
        task_group.start_soon(restarted, follow_store, state)
        task_group.start_soon(restarted, follow_nodes, state)
        task_group.start_soon(
            restarted, follow_settings, state, source.path, source.load
        )
        if metrics_port:
            exposed = open_listening_socket(settings.front.host, metrics_port)
            metrics = MetricsEndpoint(state)
            task_group.start_soon(accept_forever, exposed, metrics.serve, task_group)
        task_group.start_soon(restarted, share_load, state)
        inner = open_listening_socket(settings.inner.host, settings.inner.port)
        task_group.start_soon(accept_forever, inner, Relay(state).serve, task_group)
        task_group.start_soon(restarted, keep_weights, state)
        accepting = await task_group.start(_accept, front, Ingress(state))
        readiness = ReadyEndpoint(state)
        task_group.start_soon(accept_forever, ready, readiness.serve, task_group)
        logger.info(
            "started",
            data_centre=settings.data_centre,
            front=str(settings.front),
            store=str(settings.store),
        )
        await stop.wait()
        await _drain(state, accepting)
        task_group.cancel_scope.cancel()
    logger.info("stopped")


async def _accept(
    front: socket.socket,
    ingress: Ingress,
    *,
    task_status: TaskStatus[anyio.CancelScope],
) -> None:
    """Accept callers until the scope that is given is cancelled."""
    async with anyio.create_task_group() as serving:
        with front, anyio.CancelScope() as accepting:
            task_status.started(accepting)
            await accept_forever(front, ingress.serve, serving)


async def _drain(state: GatewayState, accepting: anyio.CancelScope) -> None:
    logger.info("leaving", in_flight=state.in_flight.count)
    state.leaving = True
    state.stops_at = state.clock.now() + state.settings.stop_grace_s - STOP_MARGIN_S
    state.work.set()
    deadline = anyio.current_time() + state.settings.stop_grace_s - STOP_MARGIN_S
    await anyio.sleep(IDLE_CLOSE_S)
    # Where all nodes of a zone leave, callers would still be sent here; they ask
    # another node if this one takes no connection.
    accepting.cancel()
    for connection in tuple(state.idle_connections):
        connection.close()
    with anyio.CancelScope(deadline=deadline):
        await state.in_flight.wait_idle()
        while state.ordering:  # noqa: ASYNC110
            await anyio.sleep(ORDERING_LOOK_S)
        return
    logger.warning("grace ran out", in_flight=state.in_flight.count)
