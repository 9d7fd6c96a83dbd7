"""Server side of gossip connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.core.registry import Registry
from agatehoist.errors import UnknownNameError
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.authentication import Side
from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import BadFrameError, ConnectionLostError, ProtocolError
from agatehoist.protocol.gossip_messages import Exchange, ExchangeReply, Items

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from anyio.abc import ByteStream

    from agatehoist.gossip.node import GossipNode

    ReplyHandler = Callable[[GossipNode, Any], ExchangeReply]

logger = get_logger("gossip")

IDLE_TIMEOUT_S = 30.0

REPLY_HANDLERS: Registry[ReplyHandler] = Registry("gossip message")


@REPLY_HANDLERS.register(Exchange)
def reply_to_exchange(node: GossipNode, exchange: Exchange) -> ExchangeReply:
    """Reply with the items that the peer lacks."""
    return node.answer(exchange)


@REPLY_HANDLERS.register(Items)
def reply_to_items(node: GossipNode, items: Items) -> ExchangeReply:
    """Accept the items and acknowledge them by an empty reply."""
    node.accept_items(items.items)
    return ExchangeReply((), ())


async def serve_peer(node: GossipNode, stream: ByteStream) -> None:
    """Serve one connection; an invalid frame or an error closes only this one."""
    connection = Connection(stream)
    try:
        with node.session_slots.take():
            await connection.handshake(node.hello(), Side.SERVER, node.keys)
            await _serve_until_idle(node, connection)
    except (ConnectionLostError, TimeoutError):
        logger.debug("connection closed")
    except ProtocolError as error:
        logger.warning("connection closed after a protocol error", reason=str(error))
    except Exception:
        # The process owns the task group, so an exception here would end it.
        logger.exception("connection failed")
    finally:
        await connection.aclose()


async def _serve_until_idle(node: GossipNode, connection: Connection) -> None:
    while True:
        with anyio.fail_after(IDLE_TIMEOUT_S):
            message = await connection.receive()
        await connection.send(_handler_for(message)(node, message))


def _handler_for(message: Any) -> ReplyHandler:
    try:
        return REPLY_HANDLERS[type(message)]
    except UnknownNameError as error:
        raise BadFrameError(str(error)) from error
