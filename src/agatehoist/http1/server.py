"""Server side of an HTTP/1.1 connection."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import anyio
import anyio.lowlevel
import h11

from agatehoist.core.byte_budget import BufferUsage, ByteBudgetExceededError
from agatehoist.http1.chunked_body import ChunkedBody
from agatehoist.http1.errors import BadRequestError, ConnectionFailedError
from agatehoist.http1.reading_turns import ReadingTurns
from agatehoist.http1.reply_backlog import ReplyBacklog
from agatehoist.http1.types import Request, RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.core.clock import Clock
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.reply_backlog import BacklogTerms
    from agatehoist.http1.types import ConnectionLimits, Headers

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
SERVICE_UNAVAILABLE = 503
VERSION_NOT_SUPPORTED = 505
# Limit on the bytes of pipelined requests buffered while one request is served.
MAX_READ_AHEAD_BYTES = 64 * 1024
# The runs of a caller that has left must be cancelled within half a second.
PEER_END_POLL_S = 0.2
# Bodies that take more bytes, with their framing, are read only once their request has
# been admitted, and in turns.
MAX_UNADMITTED_BODY_BYTES = 64 * 1024
# Chunks of one byte have five bytes of framing each, eight with a padded size.
MAX_FRAMING_PER_BODY_BYTE = 8
# Of chunk sizes and their extensions, beside those in proportion to the body.
MAX_FRAMING_BYTES = 64 * 1024
# Of a large body, received and decoded in one turn. Chunks of one byte whose framing
# varies take 4 ms.
TURN_BYTES = 16 * 1024
# Lines of a chunked body that cost less in the parser than a change of parsers does.
MAX_PARSED_LINES = 16
# The headers of a request that the parser's state depends on behind its body.
STATE_HEADERS = frozenset((b"host", b"connection", b"transfer-encoding"))
# Larger bodies are sent without being copied.
MAX_COPIED_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class AdmittedBody:
    """Hold the usage against which a large body counts, and until when it may arrive.

    The deadline is in epoch seconds.
    """

    usage: BufferUsage
    deadline: float


class Admission(Protocol):
    """Decide on a request with a large body before the body is read."""

    def __call__(
        self, head: RequestHead, received_at: float, evict: Callable[[], None]
    ) -> AdmittedBody:
        """Return the terms on which the body is read.

        Raises RequestRefusedError.
        """


class ServerConnection:
    """Read requests one at a time and write their replies."""

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        limits: Callable[[], ConnectionLimits],
        admit: Admission | None = None,
        turns: ReadingTurns | None = None,
    ) -> None:
        self._channel = channel
        self._admit = admit
        self._turns = turns or ReadingTurns()
        # Decodes the chunks of the body that is being read, up to the last one.
        self._chunks: ChunkedBody | None = None
        # Counts the bytes of a large body until the next request.
        self._body_usage: BufferUsage | None = None
        self._body_deadline = math.inf
        self._is_admitted = False
        # Of the body that is being read, with its framing.
        self._body_bytes = 0
        self._is_input_closed = False
        self._clock = clock
        self._limits = limits
        # Whether the last request read has got a complete reply.
        self.has_replied = False
        self.has_caller_left = False
        # Whether a part of a reply couldn't be sent, so that none may follow it.
        self._has_failed = False
        self._method = b""
        self._max_header_bytes = limits().max_header_bytes
        self._http = _make_parser(self._max_header_bytes)
        self._longest_idle_timeout_s = limits().idle_timeout_s
        self._has_ended_reading = False
        self._closes_when_idle = False
        self._read_scope = anyio.CancelScope()
        # What the caller hasn't read of a reply, if that is held.
        self._backlog_terms: BacklogTerms | None = None
        self._backlog: ReplyBacklog | None = None

    @property
    def peer(self) -> str:
        """Return the address of the caller."""
        return self._channel.peer

    @property
    def discarded_bytes(self) -> int:
        """Return how many bytes of replies the caller hadn't got at an abort."""
        return self._channel.discarded_bytes

    async def next_request(self, on_begin: Callable[[], None]) -> Request | None:
        """Return the next request, or None if the caller closes or is idle too long.

        Calls on_begin when the first bytes or the end of the stream have arrived.

        Raises BadRequestError, ByteBudgetExceededError, ConnectionFailedError and
        RequestRefusedError.
        """
        await self._wait_for_input()
        if self.is_idle():
            return None
        on_begin()
        self._method = b""
        if not self._has_ended_reading:
            with anyio.CancelScope() as self._read_scope:
                return await self._read_request()
        if self._body_usage is not None and self._body_usage.is_evicted:
            raise ByteBudgetExceededError("the body was evicted for others")
        raise BadRequestError(SERVICE_UNAVAILABLE, "the server is stopping")

    def end_reading(self) -> None:
        """Refuse the request that is being read, and any later one."""
        self._has_ended_reading = True
        self._read_scope.cancel()

    async def _read_request(self) -> Request | None:
        self._apply_header_limit()
        try:
            with anyio.fail_after(self._limits().header_timeout_s):
                head = await self._read_head()
        except TimeoutError as error:
            raise BadRequestError(
                REQUEST_TIMEOUT, "headers not received in time"
            ) from error
        if head is None:
            return None
        received_at = self._clock.now()
        body = await self._read_body(head, received_at)
        self.has_replied = False
        return Request(head, body, received_at)

    async def wait_closed(self) -> None:
        """Wait until the caller has closed the connection.

        Once MAX_READ_AHEAD_BYTES are buffered, no more is read, and the kernel is asked
        at intervals. It doesn't know of an end behind more bytes than it holds.
        """
        # Some may be left from before, with pipelined requests that still wait.
        buffered = len(self._http.trailing_data[0])
        while buffered < MAX_READ_AHEAD_BYTES:
            try:
                data = await self._channel.receive()
            except ConnectionFailedError:
                self._note_failure()
                return
            self._http.receive_data(data)
            if not data:
                self.has_caller_left = True
                return
            buffered += len(data)
        while not self._channel.has_peer_ended():  # noqa: ASYNC110
            await anyio.sleep(PEER_END_POLL_S)
        # This process may have closed the connection as well.
        self.has_caller_left = self.has_caller_left or not self._channel.closed

    async def send_head(self, status: int, headers: Headers) -> None:
        """Start a reply.

        Raises ConnectionFailedError.
        """
        reply = h11.Response(status_code=status, headers=list(headers))
        await self._send_or_hold(self._encode(reply))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body.

        Raises ConnectionFailedError.
        """
        await self._send_or_hold(self._encode(h11.Data(data=data)))

    async def send_reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete reply with its length; one to HEAD has no body.

        Raises ConnectionFailedError.
        """
        headers_with_length = [*headers, (b"content-length", str(len(body)).encode())]
        parts = [
            self._encode(h11.Response(status_code=status, headers=headers_with_length))
        ]
        if body and self._method != b"HEAD":
            # With a length, the body is sent as it is.
            self._http.send_with_data_passthrough(h11.Data(data=body))
            parts.append(body)
        parts.append(self._encode(h11.EndOfMessage()))
        if len(body) <= MAX_COPIED_BODY_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self._send_or_hold(part)
        self.has_replied = self._backlog is None

    async def end(self) -> None:
        """End a reply as complete.

        Raises ConnectionFailedError.
        """
        await self._send_or_hold(self._encode(h11.EndOfMessage()))
        self.has_replied = self._backlog is None

    def hold_replies(self, terms: BacklogTerms | None) -> None:
        """Hold what the caller doesn't read at once from now on, if there are terms."""
        self._backlog_terms, self._backlog = terms, None

    async def wait_sent(self) -> None:
        """Wait until a reply that has been held is sent.

        Raises ConnectionFailedError.
        """
        if self._backlog is None:
            return
        try:
            await self._backlog.wait_sent()
        except ConnectionFailedError:
            self._note_failure()
            raise
        self.has_replied = self._http.our_state in (h11.DONE, h11.MUST_CLOSE)

    def can_start_reply(self) -> bool:
        """Return whether a reply can still be started."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return False if none can follow."""
        if self._has_failed or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._skip_empty_lines()
        self._release_body()
        return True

    def has_input(self) -> bool:
        """Return whether bytes or the end of the stream are to be processed."""
        data, closed = self._http.trailing_data
        return bool(data) or closed

    def is_idle(self) -> bool:
        """Return whether all that the caller has sent has been processed."""
        return not self.has_input() and self._channel.is_idle()

    async def close_after_reply(self) -> None:
        """Close the connection without losing the complete reply that was sent last.

        Resets it if that reply couldn't be sent whole.
        """
        if self._has_failed:
            self.abort()
        elif self._http.our_state in (h11.DONE, h11.MUST_CLOSE):
            await self._channel.linger()

    def close(self) -> None:
        """Close the connection."""
        self._release_body()
        self._channel.close()

    def enlarge_send_buffer(self) -> None:
        """Let the kernel take replies whole, however slowly the caller reads."""
        self._channel.enlarge_send_buffer()

    def close_when_idle(self) -> None:
        """Close the connection, unless a part of a request has arrived."""
        self._closes_when_idle = True
        if self.is_idle():
            self.close()

    def abort(self) -> None:
        """Reset the connection, so that a partial reply doesn't look complete."""
        self._release_body()
        self._channel.abort()

    async def _send_or_hold(self, data: bytes) -> None:
        if self._backlog_terms is None:
            await self._send(data)
            return
        try:
            left = memoryview(data)
            if self._backlog is None:
                left = self._channel.send_now(left)
                if not left:
                    return
                usage = self._backlog_terms.open_usage()
                self._backlog = ReplyBacklog(self._channel, usage)
                self._backlog_terms.start(self._backlog.run)
            self._backlog.put(left)
        except ConnectionFailedError:
            self._note_failure()
            raise

    async def _send(self, data: bytes) -> None:
        try:
            await self._channel.send(data)
        except ConnectionFailedError:
            self._note_failure()
            raise

    def _note_failure(self) -> None:
        self._has_failed = True
        # A connection that this process has closed fails as well.
        self.has_caller_left = self.has_caller_left or not self._channel.closed

    def _encode(self, event: h11.Event) -> bytes:
        return self._http.send(event) or b""

    async def _wait_for_input(self) -> None:
        if self.has_input():
            # Reading and refusing pipelined requests may otherwise wait for nothing.
            await anyio.lowlevel.checkpoint()
        idle_since = anyio.current_time()
        while not self.has_input():
            left_s = idle_since + self._idle_timeout_s() - anyio.current_time()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                self._http.receive_data(await self._channel.receive())
                self._skip_empty_lines()
            if self._closes_when_idle and self.is_idle():
                return

    def _skip_empty_lines(self) -> None:
        """Drop the line ends that some callers send behind a body (RFC 9112, 2.2)."""
        data, is_closed = self._http.trailing_data
        if data.startswith((b"\r", b"\n")):
            self._restart_parser(data.lstrip(b"\r\n"), is_closed)

    def _apply_header_limit(self) -> None:
        latest = self._limits().max_header_bytes
        if latest == self._max_header_bytes:
            return
        self._max_header_bytes = latest
        self._restart_parser(*self._http.trailing_data)

    def _restart_parser(self, data: bytes, is_closed: bool) -> None:
        # The parser's limit and its input can't be changed; between requests it holds
        # only input.
        self._http = _make_parser(self._max_header_bytes)
        if data:
            self._http.receive_data(data)
        if is_closed:
            self._http.receive_data(b"")

    def _idle_timeout_s(self) -> float:
        """Return the longest idle timeout that the caller may have been told."""
        latest_s = self._limits().idle_timeout_s
        self._longest_idle_timeout_s = max(self._longest_idle_timeout_s, latest_s)
        return self._longest_idle_timeout_s

    async def _read_head(self) -> RequestHead | None:
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._channel.receive())
            elif isinstance(event, h11.Request):
                self._method = event.method
                return _validated_head(event, self._limits().max_header_bytes)
            else:
                return None

    def _release_body(self) -> None:
        if self._body_usage is not None:
            self._body_usage.close()

    async def _read_body(self, head: RequestHead, received_at: float) -> bytes:
        limit = self._limits().max_body_bytes
        await self._begin_body(head, received_at, limit)
        body = bytearray()
        data: bytes | None = self._begin_chunks(head)
        while data is not None:
            if data or self._chunks is not None:
                self._count_body(head, received_at, len(body) + len(data), limit)
                body += data
            data = self._next_data(head)
            if data == b"":
                data = await self._receive_body(head, received_at)
        if self._body_usage is not None:
            self._body_usage.keep()
        return bytes(body)

    async def _begin_body(
        self, head: RequestHead, received_at: float, limit: int
    ) -> None:
        lengths = [int(length) for length in head.values(b"content-length")]
        length = max(lengths, default=0)
        if length > limit:
            raise BadRequestError(CONTENT_TOO_LARGE, f"body exceeds {limit} bytes")
        self._body_usage, self._body_deadline = None, math.inf
        self._is_admitted = False
        if length > MAX_UNADMITTED_BODY_BYTES:
            self._admit_body(head, received_at)
        if self._http.they_are_waiting_for_100_continue:
            continue_reply = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._encode(continue_reply))

    def _begin_chunks(self, head: RequestHead) -> bytes:
        """Return the data of the chunks that have arrived with the head, if any.

        A body of few chunks that has arrived whole is left to the parser.
        """
        self._chunks = None
        if not head.values(b"transfer-encoding"):
            return b""
        chunks = ChunkedBody(self._max_header_bytes)
        arrived, self._is_input_closed = self._http.trailing_data
        data = chunks.feed(arrived)
        if chunks.rest is not None and arrived.count(b"\n") <= MAX_PARSED_LINES:
            return b""
        self._chunks = chunks
        return data

    def _next_data(self, head: RequestHead) -> bytes | None:
        """Return the next part of the body, none if more has to arrive.

        Returns None at the end of the body.
        """
        if self._chunks is not None:
            if self._chunks.rest is None:
                return b""
            self._end_chunks(head, self._chunks.rest)
        event = self._next_event()
        if event is h11.NEED_DATA:
            return b""
        return event.data if isinstance(event, h11.Data) else None

    def _end_chunks(self, head: RequestHead, rest: bytes) -> None:
        """Let a parser in the same state read the last chunk and the trailers."""
        self._chunks = None
        lines = b"".join(
            b"%s: %s\r\n" % each for each in head.headers if each[0] in STATE_HEADERS
        )
        self._http = _make_parser(self._max_header_bytes)
        self._http.receive_data(
            b"%s / HTTP/1.1\r\n%s\r\n%s" % (head.method, lines, rest)
        )
        self._next_event()
        if self._is_input_closed:
            self._http.receive_data(b"")

    async def _receive_body(self, head: RequestHead, received_at: float) -> bytes:
        """Wait for a part of the body and return the data of the chunks in it.

        A body with a length is left to the parser.
        """
        if not self._is_admitted:
            timeout_s = self._limits().header_timeout_s
            with anyio.move_on_after(received_at + timeout_s - self._clock.now()):
                return self._take_input(await self._channel.receive())
            self._admit_body(head, received_at)
        try:
            with anyio.fail_after(self._body_deadline - self._clock.now()):
                if self._body_bytes <= MAX_UNADMITTED_BODY_BYTES:
                    return self._take_input(await self._channel.receive())
                await self._channel.wait_for_input()
                async with self._turns.turn():
                    return self._take_input(await self._channel.receive(TURN_BYTES))
        except TimeoutError as error:
            raise BadRequestError(
                REQUEST_TIMEOUT, "body not received in time"
            ) from error

    def _take_input(self, data: bytes) -> bytes:
        if self._chunks is None:
            self._http.receive_data(data)
            return b""
        if not data:
            raise BadRequestError(BAD_REQUEST, "connection closed within the body")
        return self._chunks.feed(data)

    def _admit_body(self, head: RequestHead, received_at: float) -> None:
        self._is_admitted = True
        if self._admit is None:
            self._body_deadline = received_at + self._idle_timeout_s()
            return
        admitted = self._admit(head, received_at, self._read_scope.cancel)
        self._body_usage, self._body_deadline = admitted.usage, admitted.deadline
        admitted.usage.is_bounded = bool(head.values(b"content-length"))

    def _count_body(
        self, head: RequestHead, received_at: float, count: int, limit: int
    ) -> None:
        """Count the bytes of a body and of its framing.

        Handles chunks that carry little data for their framing.
        """
        if count > limit:
            raise BadRequestError(CONTENT_TOO_LARGE, f"body exceeds {limit} bytes")
        framing = self._chunks.framing_bytes if self._chunks is not None else 0
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * count:
            raise BadRequestError(CONTENT_TOO_LARGE, "chunks carry too little data")
        self._body_bytes = count + framing
        if self._body_bytes > MAX_UNADMITTED_BODY_BYTES and not self._is_admitted:
            self._admit_body(head, received_at)
        if self._body_usage is not None:
            self._body_usage.framing_bytes = framing
            self._body_usage.set_bytes(count)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from error


def _make_parser(max_header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)


def _validated_head(event: h11.Request, max_bytes: int) -> RequestHead:
    size = len(event.target) + sum(len(name) + len(v) for name, v in event.headers)
    if size > max_bytes:
        raise BadRequestError(HEADERS_TOO_LARGE, f"headers exceed {max_bytes} bytes")
    head = RequestHead(event.method, event.target, tuple(event.headers))
    # Servers and proxies differ in which of two framings in one request they follow.
    if head.values(b"transfer-encoding") and head.values(b"content-length"):
        raise BadRequestError(
            BAD_REQUEST, "both Content-Length and Transfer-Encoding given"
        )
    if event.method == b"CONNECT":
        # A successful reply to it has no body and would open a tunnel.
        raise BadRequestError(NOT_IMPLEMENTED, "CONNECT is not supported")
    if event.http_version != b"1.1":
        raise BadRequestError(VERSION_NOT_SUPPORTED, "only HTTP/1.1 is supported")
    return head
