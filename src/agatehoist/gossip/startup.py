"""Initial state of a process from its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.gossip.types import Topic
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.errors import ProtocolError

if TYPE_CHECKING:
    from agatehoist.core.address import Address
    from agatehoist.gossip.node import GossipNode

logger = get_logger("gossip")

PEERS_PER_BATCH = 3
BATCH_TIMEOUT_S = 0.3
MAX_BATCHES = 3


async def sync_from_peers(node: GossipNode, peers: tuple[Address, ...]) -> None:
    """Exchange with a few peers at a time until all topics have a version.

    All peers of a batch are awaited before the check, since the first to answer may
    have an old revision. Topics that no peer provides come from the platform.
    """
    node.add_peers(peers)
    shuffled = node.rng.sample(peers, len(peers))
    for start in range(
        0, min(len(shuffled), PEERS_PER_BATCH * MAX_BATCHES), PEERS_PER_BATCH
    ):
        with anyio.move_on_after(BATCH_TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                for each in shuffled[start : start + PEERS_PER_BATCH]:
                    task_group.start_soon(_exchange_with, node, each)
        if all(node.version(topic) for topic in Topic):
            logger.info(
                "initial state received from peers", revision=node.view.revision
            )
            return
    if peers:
        logger.warning("peers did not provide all topics", peers=len(peers))


async def _exchange_with(node: GossipNode, address: Address) -> None:
    try:
        await node.exchange(address)
    except ProtocolError as error:
        logger.info("peer not reached", peer=str(address), reason=str(error))
