"""Client side of an HTTP/1.1 connection."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from agatehoist.core.byte_budget import ByteBudgetExceededError
from agatehoist.http1.errors import (
    ConnectionFailedError,
    InvalidReplyError,
    InvalidRequestError,
    ReplyEvictedError,
)
from agatehoist.http1.types import MAX_STATUS, ReplyHead

if TYPE_CHECKING:
    from agatehoist.core.byte_budget import BufferUsage
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import RequestHead

    ParserEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

MAX_HEAD_BYTES = 64 * 1024
# Replies with a status of 1xx before the final one; a faulty peer sends them without
# end.
MAX_INTERIM_REPLIES = 16


class ClientConnection:
    """Send requests one at a time and read their replies."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        # What the parser has found behind the data that was read last.
        self._following: ParserEvent | h11.RemoteProtocolError = h11.NEED_DATA
        self._status = 0
        self.usable_until = 0.0
        # Whether it has carried a reply before the one to the current request.
        self.is_reused = False

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a complete request.

        Raises ConnectionFailedError and InvalidRequestError.
        """
        try:
            data = self._encode_request(head, body)
        except h11.LocalProtocolError as error:
            raise InvalidRequestError(f"{self._channel.peer}: {error}") from error
        await self._channel.send(data)

    async def read_head(self) -> ReplyHead:
        """Return the head of the reply.

        Raises ConnectionFailedError and InvalidReplyError.
        """
        for _ in range(MAX_INTERIM_REPLIES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return self._checked_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise InvalidReplyError(f"{self._channel.peer}: expected a reply head")
        raise InvalidReplyError(
            f"{self._channel.peer}: more than {MAX_INTERIM_REPLIES} interim replies"
        )

    async def read_data(self) -> bytes | None:
        """Return the part of the body that has arrived next, or None at its end.

        Raises ConnectionFailedError and InvalidReplyError.
        """
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            return None
        parts = [event.data]
        while isinstance(following := self._arrived_event(), h11.Data):
            parts.append(following.data)
        self._following = following
        return b"".join(parts)

    async def read_body(
        self, max_bytes: int, usage: BufferUsage | None = None
    ) -> bytes:
        """Return the complete body, whose bytes are counted as they arrive.

        Raises ConnectionFailedError, InvalidReplyError and ReplyEvictedError.
        """
        body = bytearray()
        try:
            while (data := await self.read_data()) is not None:
                if len(body) + len(data) > max_bytes:
                    raise self._too_long_error(max_bytes)
                if usage is not None:
                    usage.add_bytes(len(data))
                body += data
            return bytes(body)
        except ByteBudgetExceededError as error:
            raise ReplyEvictedError(f"{self._channel.peer}: {error}") from error
        except ConnectionFailedError as error:
            if usage is None or not usage.is_evicted:
                raise
            raise ReplyEvictedError(f"{self._channel.peer}: evicted") from error
        finally:
            # The traceback of an error would keep it in memory.
            body.clear()

    async def skip_body(self, max_bytes: int) -> None:
        """Read the body to its end and drop it.

        Raises ConnectionFailedError and InvalidReplyError.
        """
        skipped = 0
        while (data := await self.read_data()) is not None:
            skipped += len(data)
            if skipped > max_bytes:
                raise self._too_long_error(max_bytes)

    def abort(self) -> None:
        """Reset the connection, which ends a read in progress."""
        self._channel.abort()

    def _checked_head(self, event: h11.Response) -> ReplyHead:
        if event.status_code > MAX_STATUS:
            raise InvalidReplyError(
                f"{self._channel.peer}: invalid status {event.status_code}"
            )
        self._status = event.status_code
        return ReplyHead(event.status_code, tuple(event.headers))

    def _too_long_error(self, max_bytes: int) -> InvalidReplyError:
        return InvalidReplyError(
            f"{self._channel.peer}: body exceeds {max_bytes} bytes"
        )

    def skip_reply(self, head: RequestHead, body: bytes) -> None:
        """Prepare to read another reply; the last one answered an earlier request.

        Raises InvalidReplyError if the connection can't carry another one.
        """
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError as error:
            raise InvalidReplyError(f"{self._channel.peer}: {error}") from error
        # The request has been sent already; encoding it again only updates the state.
        self._encode_request(head, body)

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; close and return False if none can follow."""
        unread_data, peer_closed = self._http.trailing_data
        if unread_data or peer_closed or not self._is_complete():
            self.close()
            return False
        self._http.start_next_cycle()
        self.is_reused = True
        return True

    def is_idle(self) -> bool:
        """Return whether the peer has neither sent data nor closed the connection."""
        return self._channel.is_idle()

    def close(self) -> None:
        """Close the connection, or reset it to make the peer stop an open request."""
        if self._is_complete():
            self._channel.close()
        else:
            self._channel.abort()

    def _is_complete(self) -> bool:
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE, h11.DONE)

    def _encode_request(self, head: RequestHead, body: bytes) -> bytes:
        request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        parts = [self._http.send(request) or b""]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    def _arrived_event(self) -> ParserEvent | h11.RemoteProtocolError:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            return error

    def _parse(self) -> ParserEvent:
        following, self._following = self._following, h11.NEED_DATA
        if isinstance(following, h11.RemoteProtocolError):
            raise following
        return self._http.next_event() if following is h11.NEED_DATA else following

    async def _next_event(self) -> h11.Event:
        closed = False
        while True:
            try:
                event = self._parse()
                if event is not h11.NEED_DATA:
                    break
                data = await self._channel.receive()
                closed = not data
                self._http.receive_data(data)
            except h11.RemoteProtocolError as error:
                if closed:
                    raise self._closed_early_error() from error
                raise InvalidReplyError(f"{self._channel.peer}: {error}") from error
        if isinstance(event, h11.ConnectionClosed) or (closed and self._is_cut()):
            raise self._closed_early_error()
        if not isinstance(event, h11.Event):
            raise InvalidReplyError(
                f"{self._channel.peer}: unexpected data after the reply"
            )
        return event

    def _is_cut(self) -> bool:
        """Return whether a success has ended before its request has arrived.

        The end of the connection ends it, and acknowledges a request that was read.
        """
        is_success = self._status < HTTPStatus.MULTIPLE_CHOICES
        return is_success and self._channel.has_undelivered()

    def _closed_early_error(self) -> ConnectionFailedError:
        return ConnectionFailedError(
            f"{self._channel.peer}: closed before the end of the reply"
        )
