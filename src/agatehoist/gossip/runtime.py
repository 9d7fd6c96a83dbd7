"""Tasks that keep the configuration and the host list of a process up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.gossip.sources import poll_hosts, watch_configuration
from agatehoist.gossip.startup import sync_from_peers

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.gossip.node import GossipNode
    from agatehoist.storage.client import PlatformClient


async def run_gossip(
    node: GossipNode, platform: PlatformClient, peers: tuple[Address, ...]
) -> None:
    """Fetch the state from the peers, then update it from peers and the platform."""
    await sync_from_peers(node, peers)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(node.run)
        task_group.start_soon(node.view.run_expirations)
        task_group.start_soon(watch_configuration, node, platform)
        task_group.start_soon(poll_hosts, node, platform)
