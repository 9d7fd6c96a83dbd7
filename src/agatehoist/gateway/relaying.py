"""Reads of the store for peers that it doesn't answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.http1.errors import BadRequestError, ConnectionFailedError
from agatehoist.http1.server import ServerConnection
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import PlatformError

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request

logger = get_logger("relay")


class Relay:
    """Pass reads of registered nodes on, each to the store itself."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        state = self._state
        connection = ServerConnection(channel, state.clock, state.limits)
        host = channel.peer.partition(":")[0]
        try:
            if not any(host == each.host for each in state.nodes):
                logger.info("stranger refused", peer=channel.peer)
                return
            while request := await connection.next_request(lambda: None):
                await self._answer(connection, request)
                if not connection.can_continue():
                    break
        except (BadRequestError, ConnectionFailedError) as error:
            logger.debug("connection ended", reason=str(error))
        finally:
            connection.close()

    async def _answer(self, connection: ServerConnection, request: Request) -> None:
        if request.head.method != b"GET":
            await connection.send_whole(HTTPStatus.METHOD_NOT_ALLOWED, (), b"")
            return
        try:
            reply = await self._state.store.read(request.head.target)
        except PlatformError as error:
            logger.info("read not relayed", reason=str(error))
            await connection.send_whole(HTTPStatus.SERVICE_UNAVAILABLE, (), b"")
            return
        await connection.send_whole(reply.head.status, (), reply.body)
