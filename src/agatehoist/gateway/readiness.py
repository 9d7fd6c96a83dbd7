"""Answer to the platform's question whether callers may be sent here."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.gateway.serving import serve_each
from agatehoist.http1.types import Reply, ReplyHead

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request


class ReadyEndpoint:
    """Tell the platform whether callers may be sent here."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        await serve_each(self._state, channel, self._answer)

    async def _answer(self, request: Request) -> Reply:
        return Reply(ReplyHead(self._status(request), ()), b"")

    def _status(self, request: Request) -> int:
        if not self._state.platform.is_ready_check(request.head):
            return HTTPStatus.NOT_FOUND
        if self._state.ready:
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE
