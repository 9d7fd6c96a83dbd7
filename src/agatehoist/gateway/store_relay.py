"""Relay of store reads for peers that can't reach the store."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.gateway.request_loop import serve_requests
from agatehoist.http1.types import Reply, ReplyHead
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import PlatformError

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request

logger = get_logger("relay")


class Relay:
    """Forward reads of registered nodes to the store, never to another relay."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        host = channel.peer.partition(":")[0]
        if not any(host == each.host for each in self._state.nodes):
            logger.info("unregistered peer refused", peer=channel.peer)
            channel.close()
            return
        await serve_requests(self._state, channel, self._answer)

    async def _answer(self, request: Request) -> Reply:
        if request.head.method != b"GET":
            return Reply(ReplyHead(HTTPStatus.METHOD_NOT_ALLOWED, ()), b"")
        try:
            return await self._state.store.forward_read(request.head.target)
        except PlatformError as error:
            logger.info("read not relayed", reason=str(error))
            return Reply(ReplyHead(HTTPStatus.SERVICE_UNAVAILABLE, ()), b"")
