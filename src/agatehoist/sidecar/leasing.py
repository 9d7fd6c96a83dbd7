"""What a sidecar does as the home of ceilings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.protocol.limit_messages import LeaseReply, LeaseRequest
from agatehoist.sidecar.handlers import HANDLERS

if TYPE_CHECKING:
    from agatehoist.sidecar.session import Session


@HANDLERS.register(LeaseRequest)
async def handle_lease(session: Session, request: LeaseRequest) -> None:
    """Answer with a lease of an organisation's budget."""
    state = session.state
    grant = state.ceilings.lease(request.ask, state.clock.now())
    await session.send(LeaseReply(request.request_id, grant))
