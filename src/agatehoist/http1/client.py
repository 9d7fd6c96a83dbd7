"""Client side of an HTTP/1.1 connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from agatehoist.http1.errors import AnswerGarbledError, ConnectionFailedError
from agatehoist.http1.types import ReplyHead

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import RequestHead

MAX_HEAD_BYTES = 64 * 1024


class ClientConnection:
    """Send one request at a time and read its answer."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.usable_until = 0.0

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request.

        Raises ConnectionFailedError.
        """
        await self._channel.send(self._encode_request(head, body))

    async def read_head(self) -> ReplyHead:
        """Return the head of the answer.

        Raises ConnectionFailedError and AnswerGarbledError.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return ReplyHead(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise AnswerGarbledError(f"{self._channel.peer}: no answer came")

    async def read_data(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Raises ConnectionFailedError and AnswerGarbledError.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises ConnectionFailedError and AnswerGarbledError.
        """
        body = bytearray()
        while (data := await self.read_data()) is not None:
            body += data
            if len(body) > max_bytes:
                raise AnswerGarbledError(
                    f"{self._channel.peer}: body over {max_bytes} bytes"
                )
        return bytes(body)

    def skip_answer(self, head: RequestHead, body: bytes) -> None:
        """Wait for one more answer, since the one just read belongs to no request.

        Raises AnswerGarbledError if the connection can't carry another one.
        """
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError as error:
            raise AnswerGarbledError(f"{self._channel.peer}: {error}") from error
        # The request has been sent already; only the state follows here.
        self._encode_request(head, body)

    def release(self) -> bool:
        """Make ready for the next request and say whether one may follow."""
        stray, peer_closed = self._http.trailing_data
        if stray or peer_closed or not self._is_done():
            self.close()
            return False
        self._http.start_next_cycle()
        return True

    def is_quiet(self) -> bool:
        """Say whether the peer has neither sent bytes nor closed."""
        return self._channel.is_quiet()

    def close(self) -> None:
        """Close the connection, which lets the peer drop what it does for it."""
        if self._is_done():
            self._channel.close()
        else:
            self._channel.abort()

    def _is_done(self) -> bool:
        done = (self._http.our_state, self._http.their_state)
        return done == (h11.DONE, h11.DONE)

    def _encode_request(self, head: RequestHead, body: bytes) -> bytes:
        request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        parts = [self._http.send(request) or b""]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    async def _next_event(self) -> h11.Event:
        closed = False
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    break
                data = await self._channel.receive()
                closed = not data
                self._http.receive_data(data)
            except h11.RemoteProtocolError as error:
                if closed:
                    raise self._closed_early() from error
                raise AnswerGarbledError(f"{self._channel.peer}: {error}") from error
        if isinstance(event, h11.ConnectionClosed):
            raise self._closed_early()
        if not isinstance(event, h11.Event):
            raise AnswerGarbledError(f"{self._channel.peer}: bytes beyond the answer")
        return event

    def _closed_early(self) -> ConnectionFailedError:
        return ConnectionFailedError(
            f"{self._channel.peer}: closed before the answer's end"
        )
