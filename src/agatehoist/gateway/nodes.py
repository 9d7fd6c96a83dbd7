"""Register of the nodes, which share the budget for repeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

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
        state.set_node_count(max(1, len(listing.values)))
        # The first look comes before the others have registered.
        await anyio.sleep(LOOK_S if len(listing.values) > 1 else RETRY_S)


async def _register(state: GatewayState) -> None:
    settings = state.settings
    try:
        await state.store.create(
            NODE_KIND, settings.node, {"data_centre": settings.data_centre}
        )
    except ConflictError:
        # An earlier run of the process has registered the node.
        return
