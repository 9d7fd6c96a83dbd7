"""Datagrams between gateways: the socket, and the handlers of their kinds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.core.address import Address
from agatehoist.core.registry import Registry
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.datagrams import MAX_DATAGRAM_BYTES, datagram_kind
from agatehoist.protocol.errors import BadFrameError

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from agatehoist.gateway.state import GatewayState

logger = get_logger("gateway")

RETRY_DELAY_S = 0.04

# Each handler gets the datagram and the earliest epoch time at which it can have been
# sent, and raises BadFrameError if it can't be decoded.
DATAGRAM_HANDLERS: Registry[Callable[[GatewayState, bytes, float], None]] = Registry(
    "kind of datagram"
)


def send_datagram(sock: socket.socket, data: bytes, peer: Address) -> None:
    """Send a datagram; one that is lost is not sent again."""
    try:
        sock.sendto(data, (peer.host, peer.port))
    except OSError as error:
        logger.debug("datagram not sent", peer=str(peer), reason=str(error))


def send_to_some_peers(
    state: GatewayState, sock: socket.socket, data: bytes, count: int
) -> None:
    """Send a datagram to peers picked at random, at most `count` of them."""
    peers = sorted(state.nodes - {state.settings.inner}, key=str)
    for peer in state.rng.sample(peers, min(count, len(peers))):
        send_datagram(sock, data, peer)


async def receive_datagrams(state: GatewayState, sock: socket.socket) -> None:
    """Handle the datagrams of the other nodes until cancelled."""
    # Datagrams may queue in the socket while the process is suspended. The last time
    # the socket was empty is the earliest time at which one can have been sent.
    sent_after = state.clock.now()
    while True:
        try:
            data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except BlockingIOError:
            sent_after = state.clock.now()
            await anyio.wait_readable(sock)
            continue
        except OSError as error:
            logger.debug("datagram not received", reason=str(error))
            await anyio.sleep(RETRY_DELAY_S)
            continue
        kind = datagram_kind(data)
        if kind not in DATAGRAM_HANDLERS:
            logger.debug("datagram of an unknown kind ignored", kind=kind)
            continue
        if Address(*sender) not in state.nodes:
            state.note_unlisted_node(Address(*sender))
        if not any(sender[0] == each.host for each in state.nodes):
            continue
        _handle(state, kind, data, sent_after)


def _handle(
    state: GatewayState, kind: int | None, data: bytes, sent_after: float
) -> None:
    """Handle one datagram; one that can't be handled costs only itself."""
    try:
        DATAGRAM_HANDLERS[kind](state, data, sent_after)
    except BadFrameError as error:
        logger.debug("invalid datagram ignored", kind=kind, reason=str(error))
    except Exception:
        logger.exception("datagram not handled", kind=kind)
