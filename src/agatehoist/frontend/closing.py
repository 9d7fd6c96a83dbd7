"""Streams that release what they hold, however they end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import StreamingResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AsyncExitStack

    from starlette.types import Receive, Scope, Send


class ClosingResponse(StreamingResponse):
    """Stream events and close a stack of contexts at the end.

    The contexts are closed also if the caller leaves before the first event is sent,
    when the generator of the events has not been started.
    """

    def __init__(
        self,
        content: AsyncIterator[bytes],
        headers: dict[str, str],
        closing: AsyncExitStack,
    ) -> None:
        super().__init__(content, headers=headers, media_type="text/event-stream")
        self._closing = closing

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the stream."""
        async with self._closing:
            await super().__call__(scope, receive, send)
