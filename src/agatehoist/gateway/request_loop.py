"""Request loop for readiness checks, metrics and the relay of store reads."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from agatehoist.http1.errors import BadRequestError, ConnectionFailedError
from agatehoist.http1.server import ServerConnection
from agatehoist.http1.types import ConnectionLimits, Reply, ReplyHead
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request

logger = get_logger("gateway")

# The requests of nodes and of the platform have small bodies.
INNER_LIMITS = ConnectionLimits(max_body_bytes=64 * 1024)


async def serve_requests(
    state: GatewayState,
    channel: Channel,
    answer: Callable[[Request], Awaitable[Reply]],
) -> None:
    """Serve the requests of a connection until it ends."""
    # The configured limits are those of callers.
    connection = ServerConnection(channel, state.clock, lambda: INNER_LIMITS)
    try:
        while request := await connection.next_request(lambda: None):
            reply = await _answer(request, answer)
            await connection.send_reply(
                reply.head.status, reply.head.headers, reply.body
            )
            if not connection.prepare_next_request():
                break
    except (BadRequestError, ConnectionFailedError) as error:
        logger.debug("connection ended", reason=str(error))
    except Exception:
        # An error on one connection must not end the process.
        logger.exception("connection failed", peer=connection.peer)
        connection.abort()
    finally:
        connection.close()


async def _answer(
    request: Request, answer: Callable[[Request], Awaitable[Reply]]
) -> Reply:
    try:
        return await answer(request)
    except Exception:
        logger.exception("request failed", target=request.head.target)
        return Reply(ReplyHead(HTTPStatus.INTERNAL_SERVER_ERROR, ()), b"")
