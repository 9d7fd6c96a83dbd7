"""HTTP endpoint for metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import REGISTRY, render

from agatehoist.gateway.request_loop import serve_requests
from agatehoist.http1.types import Reply, ReplyHead

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request

PATH = b"/metrics"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class MetricsEndpoint:
    """Serve the metrics of this process."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        await serve_requests(self._state, channel, self._answer)

    async def _answer(self, request: Request) -> Reply:
        if request.head.target.partition(b"?")[0] != PATH:
            return Reply(ReplyHead(404, ()), b"")
        body, _ = render(REGISTRY, ["text/plain"])
        return Reply(ReplyHead(200, (CONTENT_TYPE,)), body)
