"""Open connections of callers."""

from __future__ import annotations

import math
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.core.inflight import InFlightCounter
from agatehoist.http1.connection_choice import OpenConnection, Phase, closable
from agatehoist.http1.reading_turns import ReadingTurns
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import CLOSED_CONNECTIONS_TOTAL

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agatehoist.core.byte_budget import ByteBudget
    from agatehoist.http1.server import ServerConnection

logger = get_logger("gateway")

# A crowd of callers must not fill the log.
LOG_INTERVAL_S = 1.0


class CallerConnections:
    """Hold the connections of callers: limit them, and end them for a stop."""

    def __init__(
        self,
        body_budget: ByteBudget,
        backlog_budget: ByteBudget,
        max_connections: int,
    ) -> None:
        # Of the large bodies of callers' requests.
        self.body_budget = body_budget
        # Of the replies that callers read slowly.
        self.backlog_budget = backlog_budget
        self.reading_turns = ReadingTurns()
        self._max_connections = max_connections
        # What each does, and since when in monotonic time.
        self._phases_by_connection: dict[ServerConnection, tuple[Phase, float]] = {}
        self._open = InFlightCounter()
        self._closes_idle = False
        self._logged_at = -math.inf
        self._closed_since_log = 0

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._phases_by_connection)

    @property
    def waiting(self) -> list[ServerConnection]:
        """Return the connections that wait for their next request."""
        phases = self._phases_by_connection.items()
        return [each for each, (phase, _) in phases if phase is Phase.IDLE]

    @contextmanager
    def track(self, connection: ServerConnection) -> Iterator[None]:
        """Count a connection as open until the context exits."""
        self.note_phase(connection, Phase.READING)
        with self._open.track():
            try:
                yield
            finally:
                del self._phases_by_connection[connection]

    def note_phase(self, connection: ServerConnection, phase: Phase) -> None:
        """Note what a connection begins to do."""
        self._phases_by_connection[connection] = (phase, time.monotonic())

    def make_room(self) -> bool:
        """Close a connection if there are too many; return whether one may be opened.

        None is closed that has got a part of a request since it was chosen.
        """
        if self.open_count < self._max_connections:
            return True
        now = time.monotonic()
        connections = tuple(self._phases_by_connection)
        for state in closable(self._open_connections(), now):
            connection = connections[state.number]
            if state.phase is Phase.IDLE and not connection.is_idle():
                continue
            end = connection.close if state.phase is Phase.IDLE else connection.abort
            end()
            # It isn't chosen again while its task ends.
            self.note_phase(connection, Phase.SERVING)
            self._note_closed(state.phase.value, now)
            return True
        self._note_closed("refused", now)
        return False

    def may_wait(self, connection: ServerConnection) -> bool:
        """Return whether a connection may stay open until its next request arrives."""
        return not (self._closes_idle and connection.is_idle())

    def close_idle(self) -> None:
        """Close the idle connections, and later ones as soon as they are idle."""
        self._closes_idle = True
        for connection in self.waiting:
            connection.close_when_idle()

    def enlarge_send_buffers(self) -> None:
        """Let the kernel take the replies whole, however slowly the callers read."""
        for connection in tuple(self._phases_by_connection):
            connection.enlarge_send_buffer()

    def end_reading(self) -> None:
        """Refuse the requests that haven't been read whole."""
        for connection in tuple(self._phases_by_connection):
            connection.end_reading()

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        await self._open.wait_idle()

    def _open_connections(self) -> Iterator[OpenConnection]:
        phases = self._phases_by_connection.items()
        for number, (connection, (phase, since)) in enumerate(phases):
            host = connection.peer.rpartition(":")[0]
            yield OpenConnection(number, host, phase, since)

    def _note_closed(self, cause: str, now: float) -> None:
        CLOSED_CONNECTIONS_TOTAL.inc({"cause": cause})
        self._closed_since_log += 1
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        logger.warning(
            "too many connections of callers",
            open=self.open_count,
            limit=self._max_connections,
            closed=self._closed_since_log,
            cause=cause,
        )
        self._logged_at, self._closed_since_log = now, 0
