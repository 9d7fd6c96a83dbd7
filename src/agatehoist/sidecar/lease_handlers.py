"""Handler of the requests for leases of rate limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.protocol.limit_messages import LeaseReply, LeaseRequest
from agatehoist.sidecar.handlers import HANDLERS

if TYPE_CHECKING:
    from agatehoist.sidecar.session import Session


@HANDLERS.register(LeaseRequest)
async def handle_lease(session: Session, request: LeaseRequest) -> None:
    """Reply with a lease of part of an organisation's rate limit.

    `ask` of the request has the amounts that the router asks for.
    """
    state = session.state
    grant = state.lease_issuer.lease(request.ask, state.clock.now())
    await session.send(LeaseReply(request.request_id, grant))
