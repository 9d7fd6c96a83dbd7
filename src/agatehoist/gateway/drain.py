"""End of service of a gateway process that has been told to stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from agatehoist.core.units import MS_PER_S
from agatehoist.observability.logs import get_logger
from agatehoist.stopping.schedule import stop_schedule

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.gateway.state import GatewayState

logger = get_logger("gateway")

# How often a stopping process checks whether its roll-outs have ended.
ROLLOUT_END_POLL_S = 0.1


async def drain(
    state: GatewayState, stop_accepting: Callable[[], None], signalled_at: float
) -> None:
    """Finish the requests and roll-outs in progress, within the stop grace period.

    The period began at `signalled_at`, in event loop time. Requests that don't end in
    time get a final answer.
    """
    now, began_at = state.clock.now(), anyio.current_time()
    late_s = began_at - signalled_at
    logger.info(
        "leaving",
        in_flight=state.in_flight.count,
        late_ms=round(late_s * MS_PER_S),
    )
    schedule = stop_schedule(now - late_s, state.settings.stop_grace_s)
    state.leaving = True
    state.stop.schedule = schedule
    state.rollout_wakeup.set()
    state.journal.note_stop()
    await anyio.sleep_until(began_at + schedule.closes_idle_at - now)
    # When all nodes of a data centre stop together, the platform still routes callers
    # here; they try another node only if this one refuses the connection.
    stop_accepting()
    # Connections that have just been accepted begin to be served.
    await anyio.lowlevel.checkpoint()
    state.caller_connections.close_idle()
    # No more are opened. Endpoints whose callers read slowly end their answers in time.
    state.caller_connections.enlarge_send_buffers()
    with anyio.CancelScope(deadline=began_at + schedule.answers_at - now):
        await _wait_until_done(state)
        return
    logger.warning("stop grace period ended", in_flight=state.in_flight.count)
    answered_at = anyio.current_time()
    stops_at = schedule.stops_at_after(now + answered_at - began_at)
    stops_at += began_at - now
    # Half of the time is left for the final answers themselves.
    state.active_requests.end_for_stop((answered_at + stops_at) / 2)
    state.caller_connections.end_reading()
    with anyio.CancelScope(deadline=stops_at):
        await _wait_until_done(state)
        return
    logger.warning("connections cut", open=state.caller_connections.open_count)


async def _wait_until_done(state: GatewayState) -> None:
    await state.caller_connections.wait_closed()
    while state.models_in_rollout:  # noqa: ASYNC110
        await anyio.sleep(ROLLOUT_END_POLL_S)
