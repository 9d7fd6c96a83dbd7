"""Start and shutdown of a gateway process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.clock import SystemClock
from agatehoist.core.signals import stop_signals
from agatehoist.core.sockets import open_listening_socket
from agatehoist.gateway.drain import drain
from agatehoist.gateway.ingress import Ingress
from agatehoist.gateway.metrics_endpoint import MetricsEndpoint
from agatehoist.gateway.nodes import track_nodes
from agatehoist.gateway.peer_reports import exchange_peer_reports
from agatehoist.gateway.readiness import ReadinessEndpoint
from agatehoist.gateway.settings import GatewaySettings
from agatehoist.gateway.settings_reload import watch_settings
from agatehoist.gateway.state import GatewayState
from agatehoist.gateway.store_relay import Relay
from agatehoist.gateway.store_watch import follow_store
from agatehoist.gateway.tasks import run_with_restarts
from agatehoist.gateway.weights_rollout import roll_out_weights
from agatehoist.http1.channel import accept_forever
from agatehoist.observability.logs import get_logger
from agatehoist.software.share_writer import write_shares

if TYPE_CHECKING:
    import socket

    from anyio.abc import TaskStatus

    from agatehoist.core.clock import Clock
    from agatehoist.gateway.types import Platform
    from agatehoist.storage.objects import ObjectStore

logger = get_logger("gateway")


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """Hold the path of the settings file and its parser."""

    path: Path
    load: Callable[[Path], GatewaySettings]


async def run_gateway(
    settings: GatewaySettings,
    platform: Platform,
    make_store: Callable[[Clock], ObjectStore],
    source: SettingsSource,
    metrics_port: int = 0,
) -> None:
    """Serve callers until a stop signal, then finish the requests in flight.

    With a `metrics_port` of 0, no metrics are served.

    Raises ListenError if an address can't be bound.
    """
    clock = SystemClock()
    front_socket = open_listening_socket(settings.front.host, settings.front.port)
    ready_socket = open_listening_socket(settings.ready.host, settings.ready.port)
    async with stop_signals() as stop, anyio.create_task_group() as task_group:
        store = make_store(clock)
        # An earlier process of this node may have just sent all retries that the slack
        # allows in one window.
        retry_slack_available_at = clock.now() + settings.retries.window_s
        state = GatewayState(
            settings, clock, platform, store, task_group, retry_slack_available_at
        )
        task_group.start_soon(run_with_restarts, follow_store, state)
        task_group.start_soon(run_with_restarts, track_nodes, state)
        task_group.start_soon(
            run_with_restarts, watch_settings, state, source.path, source.load
        )
        if metrics_port:
            metrics_socket = open_listening_socket(settings.front.host, metrics_port)
            metrics = MetricsEndpoint(state)
            task_group.start_soon(
                accept_forever, metrics_socket, metrics.serve, task_group
            )
        task_group.start_soon(run_with_restarts, exchange_peer_reports, state)
        task_group.start_soon(run_with_restarts, state.lines.run)
        task_group.start_soon(run_with_restarts, state.journal.run)
        inner_socket = open_listening_socket(settings.inner.host, settings.inner.port)
        task_group.start_soon(
            accept_forever, inner_socket, Relay(state).serve, task_group
        )
        task_group.start_soon(run_with_restarts, roll_out_weights, state)
        task_group.start_soon(run_with_restarts, write_shares, state)
        accepting = await task_group.start(_accept, front_socket, Ingress(state))
        readiness = ReadinessEndpoint(state)
        task_group.start_soon(accept_forever, ready_socket, readiness.serve, task_group)
        logger.info(
            "started",
            data_centre=settings.data_centre,
            front=str(settings.front),
            store=str(settings.store),
        )
        signalled_at = await stop.wait()
        await drain(state, accepting.cancel, signalled_at)
        task_group.cancel_scope.cancel()
    logger.info("stopped")


async def _accept(
    front: socket.socket,
    ingress: Ingress,
    *,
    task_status: TaskStatus[anyio.CancelScope],
) -> None:
    """Accept callers until the cancel scope passed to `task_status` is cancelled.

    Connections that have been accepted are served on.
    """
    async with anyio.create_task_group() as serving:
        with front, anyio.CancelScope() as accepting:
            task_status.started(accepting)
            await accept_forever(front, ingress.serve, serving)
