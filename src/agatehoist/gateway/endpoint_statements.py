"""Statements that endpoints make of themselves in their answers to a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.fleet.statements import NO_STATEMENT
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import ENDPOINT_STATEMENTS_TOTAL
from agatehoist.protocol.node_reports import endpoint_key

if TYPE_CHECKING:
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.types import ReplyHead

logger = get_logger("gateway")


def note_statement(
    state: GatewayState, endpoint: Endpoint, head: ReplyHead, sent_at: float
) -> None:
    """Record what the head of an answer says of the endpoint itself."""
    now = state.clock.now()
    statement = state.platform.read_statement(head, now)
    if statement != NO_STATEMENT:
        ENDPOINT_STATEMENTS_TOTAL.inc({"service": endpoint.service})
    key = endpoint_key(endpoint.lifetime)
    notice = state.statements.note(key, statement, sent_at, now)
    if notice is not None:
        logger.info(
            "endpoint stated",
            endpoint=endpoint.lifetime,
            limit_per_s=notice.limit_per_s,
            leaving=notice.leaving,
            status=head.status,
        )
