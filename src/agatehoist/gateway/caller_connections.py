"""Open connections of callers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.core.inflight import InFlightCounter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.core.byte_budget import ByteBudget
    from agatehoist.http1.server import ServerConnection


class CallerConnections:
    """Hold the connections of callers, so that a stopping process can end them."""

    def __init__(self, body_budget: ByteBudget) -> None:
        # Of the large bodies of callers' requests.
        self.body_budget = body_budget
        self.waiting: set[ServerConnection] = set()
        self._connections: set[ServerConnection] = set()
        self._open = InFlightCounter()
        self._closes_idle = False

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @contextmanager
    def track(self, connection: ServerConnection) -> Iterator[None]:
        """Count a connection as open until the context exits."""
        self._connections.add(connection)
        with self._open.track():
            try:
                yield
            finally:
                self._connections.discard(connection)
                self.waiting.discard(connection)

    def may_wait(self, connection: ServerConnection) -> bool:
        """Return whether a connection may stay open until its next request arrives."""
        return not (self._closes_idle and connection.is_idle())

    def close_idle(self) -> None:
        """Close the idle connections, and later ones as soon as they are idle."""
        self._closes_idle = True
        for connection in tuple(self.waiting):
            connection.close_when_idle()

    def enlarge_send_buffers(self) -> None:
        """Let the kernel take the replies whole, however slowly the callers read."""
        for connection in tuple(self._connections):
            connection.enlarge_send_buffer()

    def end_reading(self) -> None:
        """Refuse the requests that haven't been read whole."""
        for connection in tuple(self._connections):
            connection.end_reading()

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        await self._open.wait_idle()
