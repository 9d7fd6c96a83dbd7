"""Streaming response that releases its resources however it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import StreamingResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AsyncExitStack

    from starlette.types import Receive, Scope, Send


class ClosingResponse(StreamingResponse):
    """Stream events and close an exit stack at the end.

    The stack is closed even if the caller disconnects before the first event is sent.
    The generator of the events has then not been started and can't close it.
    """

    def __init__(
        self,
        content: AsyncIterator[bytes],
        headers: dict[str, str],
        exit_stack: AsyncExitStack,
    ) -> None:
        super().__init__(content, headers=headers, media_type="text/event-stream")
        self._exit_stack = exit_stack

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the stream."""
        async with self._exit_stack:
            await super().__call__(scope, receive, send)
