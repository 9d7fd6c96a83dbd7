"""Splitting of a text/event-stream body into events."""

from __future__ import annotations

import re
from dataclasses import dataclass

from agatehoist.http1.errors import InvalidReplyError

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)
FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
# Length of the longest match of END_OF_EVENT.
MAX_END_BYTES = 4
MAX_EVENT_BYTES = 256 * 1024
# Of all events of a stream.
MAX_STREAM_BYTES = 32 * 1024 * 1024
MAX_STREAM_EVENTS = 100_000
MAX_STREAM_COMMENTS = 10_000


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold the bytes of one event, its blank line included, and the last id so far."""

    data: bytes
    event_id: bytes | None

    @property
    def is_comment(self) -> bool:
        """Return whether the event has no field, as those that keep a stream alive."""
        return FIELD.search(self.data) is None


class EventSplitter:
    """Split a body into its events, whatever pieces it arrives in."""

    def __init__(
        self,
        max_event_bytes: int = MAX_EVENT_BYTES,
        max_stream_bytes: int = MAX_STREAM_BYTES,
        max_stream_events: int = MAX_STREAM_EVENTS,
        max_stream_comments: int = MAX_STREAM_COMMENTS,
        last_event_id: bytes | None = None,
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._max_stream_bytes = max_stream_bytes
        self._max_stream_events = max_stream_events
        self._max_stream_comments = max_stream_comments
        self._last_event_id = last_event_id
        self._remainder = bytearray()
        self._stream_bytes = 0
        self._stream_events = 0
        self._stream_comments = 0

    @property
    def remainder(self) -> bytes:
        """Return the received bytes of an incomplete event."""
        return bytes(self._remainder)

    @property
    def remainder_bytes(self) -> int:
        """Return the number of received bytes of an incomplete event."""
        return len(self._remainder)

    def feed(self, data: bytes) -> tuple[StreamEvent, ...]:
        """Add bytes and return the events that they complete.

        Raises InvalidReplyError if an event or the stream is over the limit.
        """
        # An end that is split between two pieces starts in the last bytes of the first.
        search_from = max(0, len(self._remainder) - MAX_END_BYTES + 1)
        self._remainder += data
        ends = [
            match.end() for match in END_OF_EVENT.finditer(self._remainder, search_from)
        ]
        starts = [0, *ends]
        events = [
            self._event(bytes(self._remainder[start:end]))
            for start, end in zip(starts, ends, strict=False)
        ]
        del self._remainder[: starts[-1]]
        self._stream_bytes += len(data)
        self._stream_events += len(events)
        self._stream_comments += sum(each.is_comment for each in events)
        self._check_limits()
        return tuple(events)

    def finish(self) -> None:
        """Check that the body ends after a whole event.

        Raises InvalidReplyError.
        """
        # More blank lines than one may follow an event.
        if self._remainder.strip(b"\r\n"):
            raise InvalidReplyError(
                f"the stream ended {len(self._remainder)} bytes into an event"
            )

    def _event(self, data: bytes) -> StreamEvent:
        if id_match := EVENT_ID.search(data):
            self._last_event_id = id_match[1]
        return StreamEvent(data, self._last_event_id)

    def _check_limits(self) -> None:
        if len(self._remainder) > self._max_event_bytes:
            raise InvalidReplyError(
                f"event of the stream exceeds {self._max_event_bytes} bytes"
            )
        if self._stream_bytes > self._max_stream_bytes:
            raise InvalidReplyError(f"stream exceeds {self._max_stream_bytes} bytes")
        if self._stream_events > self._max_stream_events:
            raise InvalidReplyError(f"stream exceeds {self._max_stream_events} events")
        if self._stream_comments > self._max_stream_comments:
            raise InvalidReplyError(
                f"stream exceeds {self._max_stream_comments} comments"
            )
