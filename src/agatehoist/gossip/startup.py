"""Start of a process from what its peers know."""

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

PEERS_AT_ONCE = 3
PEERS_TIMEOUT_S = 0.3
MAX_TRIES = 3


async def learn_from_peers(node: GossipNode, peers: tuple[Address, ...]) -> None:
    """Ask a few peers at a time and return once they told what is newest.

    All that are asked may answer, so that one with an old revision doesn't
    decide alone. Without an answer the platform is left.
    """
    node.add_peers(peers)
    order = node.rng.sample(peers, len(peers))
    for first in range(0, min(len(order), PEERS_AT_ONCE * MAX_TRIES), PEERS_AT_ONCE):
        with anyio.move_on_after(PEERS_TIMEOUT_S):
            async with anyio.create_task_group() as task_group:
                for each in order[first : first + PEERS_AT_ONCE]:
                    task_group.start_soon(_ask, node, each)
        if all(node.version(topic) for topic in Topic):
            logger.info("started from peers", revision=node.view.revision)
            return
    if peers:
        logger.warning("no peer answered", peers=len(peers))


async def _ask(node: GossipNode, address: Address) -> None:
    try:
        await node.exchange(address)
    except ProtocolError as error:
        logger.info("peer not reached", peer=str(address), reason=str(error))
