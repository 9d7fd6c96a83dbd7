"""Events of a text/event-stream body."""

from __future__ import annotations

import re
from dataclasses import dataclass

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold the bytes of one event, its blank line included, and its id."""

    data: bytes
    event_id: bytes | None


class EventSplitter:
    """Cut a body into its events, however the bytes arrive."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that hasn't ended."""
        return self._rest

    def feed(self, data: bytes) -> tuple[StreamEvent, ...]:
        """Take bytes and return the events that end in them."""
        self._rest += data
        events = []
        start = 0
        for match in END_OF_EVENT.finditer(self._rest):
            events.append(_event(self._rest[start : match.end()]))
            start = match.end()
        self._rest = self._rest[start:]
        return tuple(events)

    def finish(self) -> tuple[StreamEvent, ...]:
        """Return what stands behind the last blank line of a whole body."""
        rest, self._rest = self._rest, b""
        return (_event(rest),) if rest else ()


def _event(data: bytes) -> StreamEvent:
    found = EVENT_ID.search(data)
    return StreamEvent(data, found[1] if found else None)
