"""Handlers of the gossip messages, which carry the configuration and host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.gossip.server import reply_to_exchange, reply_to_items
from agatehoist.protocol.gossip_messages import Exchange, Items
from agatehoist.sidecar.handlers import HANDLERS

if TYPE_CHECKING:
    from agatehoist.sidecar.session import Session


@HANDLERS.register(Exchange)
async def handle_exchange(session: Session, exchange: Exchange) -> None:
    """Reply with the items that the peer doesn't have."""
    await session.send(reply_to_exchange(session.state.gossip, exchange))


@HANDLERS.register(Items)
async def handle_items(session: Session, items: Items) -> None:
    """Store items, such as the host list, and acknowledge them."""
    await session.send(reply_to_items(session.state.gossip, items))
