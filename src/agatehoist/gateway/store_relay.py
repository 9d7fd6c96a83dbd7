"""Server for the calls of other gateways; reads of the store are forwarded to it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

# Imported to register the permits.
import agatehoist.gateway.endpoint_permits  # noqa: F401
from agatehoist.gateway.inner_calls import INNER_CALLS
from agatehoist.gateway.request_loop import serve_requests
from agatehoist.http1.types import Reply, ReplyHead
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.store_feed import (
    FEED_TARGET,
    decode_request,
    encode_reply,
)
from agatehoist.storage.errors import PlatformError

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request

logger = get_logger("relay")


class Relay:
    """Serve registered nodes: their calls, and reads forwarded to the store.

    Reads are forwarded to the store, never to another relay.
    """

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
        target = request.head.target
        if target in INNER_CALLS:
            return await INNER_CALLS[target](self._state, request)
        if request.head.method != b"GET":
            return Reply(ReplyHead(HTTPStatus.METHOD_NOT_ALLOWED, ()), b"")
        try:
            return await self._state.store.forward_read(target)
        except PlatformError as error:
            logger.info("read not relayed", reason=str(error))
            return Reply(ReplyHead(HTTPStatus.SERVICE_UNAVAILABLE, ()), b"")


@INNER_CALLS.register(FEED_TARGET)
async def answer_feed(state: GatewayState, request: Request) -> Reply:
    """Return the changes that this node has seen as a watcher."""
    try:
        feed_request = decode_request(request.body)
    except BadFrameError as error:
        logger.info("invalid feed request", reason=str(error))
        return Reply(ReplyHead(HTTPStatus.BAD_REQUEST, ()), b"")
    if not state.feed.is_serving(state.clock.now()):
        return Reply(ReplyHead(HTTPStatus.SERVICE_UNAVAILABLE, ()), b"")
    reply = await state.feed.read(feed_request)
    if not state.feed.is_serving(state.clock.now()):
        return Reply(ReplyHead(HTTPStatus.SERVICE_UNAVAILABLE, ()), b"")
    return Reply(ReplyHead(HTTPStatus.OK, ()), encode_reply(reply))
