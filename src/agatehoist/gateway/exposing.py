"""Metrics of a gateway, as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import REGISTRY, render

from agatehoist.http1.errors import BadRequestError, ConnectionFailedError
from agatehoist.http1.server import ServerConnection
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel

logger = get_logger("metrics")

PATH = b"/metrics"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class MetricsEndpoint:
    """Give the metrics to whoever asks."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        state = self._state
        connection = ServerConnection(channel, state.clock, state.limits)
        try:
            while request := await connection.next_request(lambda: None):
                if request.head.target.partition(b"?")[0] == PATH:
                    body, _ = render(REGISTRY, ["text/plain"])
                    await connection.send_whole(200, (CONTENT_TYPE,), body)
                else:
                    await connection.send_whole(404, (), b"")
                if not connection.can_continue():
                    break
        except (BadRequestError, ConnectionFailedError) as error:
            logger.debug("connection ended", reason=str(error))
        finally:
            connection.close()
