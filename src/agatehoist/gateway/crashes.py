"""Detection of endpoints that crash before they answer a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.crash_evidence import note_crash
from agatehoist.http1.channel import connect
from agatehoist.http1.errors import ConnectionFailedError, NotListeningError
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import ENDPOINT_CRASHES_TOTAL

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.quarantine.types import Crash
    from agatehoist.routing.types import Envelope

logger = get_logger("gateway")

CONNECT_TIMEOUT_S = 0.5
SECOND_LOOK_S = 0.1


async def check_crash(
    state: GatewayState, envelope: Envelope, endpoint: Endpoint, crash: Crash
) -> None:
    """Record a suspected crash if its endpoint accepts no other connection."""
    if not is_serving(state, endpoint) or not await _has_ended(endpoint):
        return
    ENDPOINT_CRASHES_TOTAL.inc({})
    prompt = envelope.prompt
    logger.info(
        "endpoint crashed before it answered",
        request=envelope.request_id,
        endpoint=endpoint.lifetime,
        parts=[each.part_id for each in prompt.shared_parts] if prompt else [],
        # The lines about quarantines name traits by these keys.
        part_keys=[each.hex() for each in crash.parts],
        fingerprint=crash.fingerprint.hex(),
    )
    note_crash(state, crash)


def is_serving(state: GatewayState, endpoint: Endpoint) -> bool:
    """Return whether no planned work explains that an endpoint ends."""
    now = state.clock.now()
    listed = state.fleet.by_name.get(endpoint.name)
    if listed is None or listed.lifetime != endpoint.lifetime:
        return False
    if state.fleet.is_leaving(listed, now):
        return False
    return not state.weights.is_changing(endpoint, now)


async def _has_ended(endpoint: Endpoint) -> bool:
    """Return whether nothing listens at an endpoint, now or a moment later."""
    if await _refuses_connections(endpoint):
        return True
    # Its process may close the connections before the listener.
    await anyio.sleep(SECOND_LOOK_S)
    return await _refuses_connections(endpoint)


async def _refuses_connections(endpoint: Endpoint) -> bool:
    """Return whether nothing listens at the address of an endpoint."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            channel = await connect(endpoint.host, endpoint.port)
    except NotListeningError:
        return True
    except (ConnectionFailedError, TimeoutError):
        # A cut path is no sign of a crash.
        return False
    channel.close()
    return False
