"""Register of the nodes, which share the budget for repeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.core.address import Address
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import ConflictError, PlatformError

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState

logger = get_logger("gateway")

NODE_KIND = "agatehoist-nodes"
# Nodes come and go by the hour; a count that is late by this much does no harm.
LOOK_S = 15.0
RETRY_S = 2.0


async def follow_nodes(state: GatewayState) -> None:
    """Register this node and count all until cancelled."""
    registered = False
    while True:
        try:
            if not registered:
                await _register(state)
                registered = True
            listing = await state.store.list(NODE_KIND, stale=True)
        except PlatformError as error:
            logger.info("nodes not counted", reason=str(error))
            await anyio.sleep(RETRY_S)
            continue
        addresses = (_address(each.spec) for each in listing.values)
        state.set_nodes(frozenset(each for each in addresses if each is not None))
        # The first look comes before the others have registered.
        await anyio.sleep(LOOK_S if len(listing.values) > 1 else RETRY_S)


async def _register(state: GatewayState) -> None:
    inner = state.settings.inner
    spec = {"host": inner.host, "port": inner.port}
    try:
        await state.store.create(NODE_KIND, state.settings.node, spec)
    except ConflictError:
        # An earlier run of the process has registered the node.
        return


def _address(spec: Any) -> Address | None:
    if not isinstance(spec, dict):
        return None
    host, port = spec.get("host"), spec.get("port")
    if not isinstance(host, str) or not isinstance(port, int):
        return None
    return Address(host, port)
