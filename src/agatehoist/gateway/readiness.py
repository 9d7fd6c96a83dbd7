"""HTTP endpoint for the readiness checks of the platform."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.gateway.request_loop import serve_requests
from agatehoist.http1.types import Reply, ReplyHead

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request


class ReadinessEndpoint:
    """Serve readiness checks: 200 if this node can serve callers, else 503."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        await serve_requests(self._state, channel, self._answer)

    async def _answer(self, request: Request) -> Reply:
        return Reply(ReplyHead(self._status(request), ()), b"")

    def _status(self, request: Request) -> int:
        if not self._state.platform.is_ready_check(request.head):
            return HTTPStatus.NOT_FOUND
        if self._state.ready:
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE
