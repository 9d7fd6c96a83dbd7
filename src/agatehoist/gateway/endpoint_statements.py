"""Statements that endpoints make of themselves, and their exchange with peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.fleet.statements import NO_STATEMENT
from agatehoist.gateway.peer_datagrams import DATAGRAM_HANDLERS, send_to_some_peers
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import ENDPOINT_STATEMENTS_TOTAL
from agatehoist.protocol.datagrams import ENDPOINT_NOTICES
from agatehoist.protocol.endpoint_notices import (
    MAX_NOTICES,
    decode_notices,
    encode_notices,
)
from agatehoist.protocol.node_reports import endpoint_key

if TYPE_CHECKING:
    import socket
    from collections.abc import Sequence

    from agatehoist.fleet.statements import Notice
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.types import ReplyHead

logger = get_logger("gateway")

# Notices within this time go into one datagram.
BATCH_DELAY_S = 0.02
# Standing notices are repeated to a few peers, for nodes that were away or have just
# started and in place of lost datagrams.
STANDING_PEERS = 3
STANDING_INTERVAL_S = 1.0
STANDING_REPEATED_S = 30.0


def note_statement(
    state: GatewayState, endpoint: Endpoint, head: ReplyHead, sent_at: float
) -> None:
    """Record what the head of an answer says of the endpoint itself."""
    now = state.clock.now()
    statement = state.platform.read_statement(head, now)
    if statement is None:
        return
    if statement != NO_STATEMENT:
        ENDPOINT_STATEMENTS_TOTAL.inc({"service": endpoint.service})
    key = endpoint_key(endpoint.lifetime)
    notice = state.statements.note(key, statement, sent_at, now)
    if notice is not None:
        logger.info(
            "endpoint stated",
            endpoint=endpoint.lifetime,
            key=key.hex(),
            limit_per_s=notice.limit_per_s,
            leaving=notice.leaving,
            status=head.status,
        )
        _apply(state, notice, is_first_hand=True)


@DATAGRAM_HANDLERS.register(ENDPOINT_NOTICES)
def receive_notices(state: GatewayState, data: bytes, sent_after: float) -> None:
    """Take over the notices of a peer and pass on what is news.

    Raises BadFrameError.
    """
    now = state.clock.now()
    for notice in decode_notices(data, sent_after):
        if state.statements.accept(notice, now):
            logger.info(
                "endpoint stated to a peer",
                key=notice.endpoint.hex(),
                limit_per_s=notice.limit_per_s,
                leaving=notice.leaving,
                age_s=round(now - notice.stated_at, 3),
            )
            _apply(state, notice, is_first_hand=False)


def _apply(state: GatewayState, notice: Notice, is_first_hand: bool) -> None:
    state.notice_outbox.add(notice, is_first_hand)
    if notice.leaving:
        state.active_requests.consider_moves()


async def send_notices(state: GatewayState, sock: socket.socket) -> None:
    """Send notices to peers, until cancelled; without any, nothing is sent."""
    outbox = state.notice_outbox
    standing_at = 0.0
    while True:
        await outbox.changed.wait(STANDING_INTERVAL_S)
        await anyio.sleep(BATCH_DELAY_S)
        notices, peer_count = outbox.pop()
        _send_to_peers(state, sock, notices, peer_count)
        now = state.clock.now()
        if now >= standing_at:
            standing_at = now + STANDING_INTERVAL_S
            standing = state.statements.stated_since(now - STANDING_REPEATED_S)
            # Over time, each of more notices than fit into a datagram is repeated.
            repeated = state.rng.sample(standing, min(MAX_NOTICES, len(standing)))
            _send_to_peers(state, sock, repeated, STANDING_PEERS)


def _send_to_peers(
    state: GatewayState, sock: socket.socket, notices: Sequence[Notice], count: int
) -> None:
    now = state.clock.now()
    for first in range(0, len(notices), MAX_NOTICES):
        data = encode_notices(notices[first : first + MAX_NOTICES], now)
        send_to_some_peers(state, sock, data, count)
