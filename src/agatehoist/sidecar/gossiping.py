"""What a sidecar does on messages that spread configuration and host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.gossip.server import reply_to_exchange, reply_to_items
from agatehoist.protocol.gossip_messages import Exchange, Items
from agatehoist.sidecar.handlers import HANDLERS

if TYPE_CHECKING:
    from agatehoist.sidecar.session import Session


@HANDLERS.register(Exchange)
async def handle_exchange(session: Session, exchange: Exchange) -> None:
    """Answer with what the peer lacks."""
    await session.send(reply_to_exchange(session.state.gossip, exchange))


@HANDLERS.register(Items)
async def handle_items(session: Session, items: Items) -> None:
    """Take the items and say that they have arrived."""
    await session.send(reply_to_items(session.state.gossip, items))
