"""Life of a gateway process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.core.clock import SystemClock
from agatehoist.core.lifetime import stop_signals
from agatehoist.core.listening import open_listening_socket
from agatehoist.gateway.ingress import Ingress, ReadyEndpoint
from agatehoist.gateway.keeping import keep_weights
from agatehoist.gateway.nodes import follow_nodes
from agatehoist.gateway.state import GatewayState
from agatehoist.gateway.watching import follow_store
from agatehoist.http1.channel import accept_forever
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.core.clock import Clock
    from agatehoist.gateway.settings import GatewaySettings
    from agatehoist.gateway.types import Platform
    from agatehoist.storage.objects import ObjectStore

logger = get_logger("gateway")

# The platform asks once a second and takes a process out after two misses; callers
# that it sent before may still come on connections they hold.
IDLE_CLOSE_S = 3.0
# What is left of the grace when everything still open is given up.
STOP_MARGIN_S = 0.7


async def run_gateway(
    settings: GatewaySettings,
    platform: Platform,
    make_store: Callable[[Clock], ObjectStore],
) -> None:
    """Serve callers until told to stop, then finish the requests in flight.

    Raises ListenError if an address can't be bound.
    """
    clock = SystemClock()
    front = open_listening_socket(settings.front.host, settings.front.port)
    ready = open_listening_socket(settings.ready.host, settings.ready.port)
    async with stop_signals() as stop, anyio.create_task_group() as task_group:
        state = GatewayState(settings, clock, platform, make_store(clock), task_group)
        task_group.start_soon(follow_store, state)
        task_group.start_soon(follow_nodes, state)
        task_group.start_soon(keep_weights, state)
        task_group.start_soon(accept_forever, front, Ingress(state).serve)
        task_group.start_soon(accept_forever, ready, ReadyEndpoint(state).serve)
        logger.info("started", node=settings.node, front=str(settings.front))
        await stop.wait()
        await _drain(state)
        task_group.cancel_scope.cancel()
    logger.info("stopped")


async def _drain(state: GatewayState) -> None:
    logger.info("leaving", in_flight=state.in_flight.count)
    state.leaving = True
    state.wake_keeper()
    deadline = anyio.current_time() + state.settings.stop_grace_s - STOP_MARGIN_S
    await anyio.sleep(IDLE_CLOSE_S)
    for connection in tuple(state.idle_connections):
        connection.close()
    with anyio.CancelScope(deadline=deadline):
        await state.in_flight.wait_idle()
        return
    logger.warning("grace ran out", in_flight=state.in_flight.count)
