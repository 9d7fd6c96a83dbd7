"""Callers that send requests over persistent connections."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import socket
import time
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import RECEIVE_BYTES, Channel, connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import ConnectionFailedError, InvalidReplyError
from agatehoist.http1.types import RequestHead
from soak.answer_invariants import LATE_REQUESTS_S
from soak.configurations import (
    GET_ROUTES,
    GUESTS_KEY,
    OVERUSER_KEY,
    OVERUSER_ROUTE,
    PASSING_ROUTES,
    ROUTES,
    STREAMED_ROUTES,
)
from soak.testbed import LONG_EVENT_COUNTS, stream_path
from soak.types import (
    EVENT_END,
    USUAL_EVENT_COUNT,
    DeadlyRequest,
    RequestResult,
    SentRequest,
)
from standins.users_platform.harness import API_KEY, MODEL
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.testbed import Testbed

REQUEST_TIMEOUT_S = 15.0
ABANDONED_SHARE = 0.1
PAUSE_S = 0.03
# Share of the pauses on a connection that are long, and their duration.
LONG_PAUSE_SHARE = 0.05
MAX_LONG_PAUSE_S = 1.5
# Longest time between the first and the last bytes of a slow request. A gateway that
# stops at the first ones stops for almost as long.
MAX_SLOW_S = 7.8
# Shares of the callers that read slowly, and the longest pause between two reads.
SLOW_READER_SHARE = 0.15
MAX_READ_PAUSE_S = 0.6
# The smallest receive buffer that the kernel allows.
SLOW_READER_BUFFER_BYTES = 1
# Longest time that a caller keeps a connection open after its last answer.
MAX_KEPT_S = 10.0
KEPT_SHARE = 0.5
# How often and how long a caller takes a stream up; its route has 10 s or more.
MAX_RESUMPTIONS = 5
RESUMPTION_BUDGET_S = 9.0
# The longest pauses before; after a longer one, a gateway that was killed is up again.
MAX_RESUMPTION_PAUSES_S = 0.6, 5.0
SAME_GATEWAY_SHARE = 0.4
RESUMABLE_ROUTE = "trace"
# Streams that often meet changes, most of which may be resumed.
LASTING_ROUTES = ("trace", "trace", "trace", "credit")
LASTING_EVENT_COUNTS = range(100, 400)
# Share of them whose callers lose their connection, and the longest time until then.
CUT_OFF_SHARE = 0.6
MAX_UNTIL_CUT_OFF_S = 2.0
# The version in the data of an event; the last one may have been cut off.
SOFTWARE_MARK = re.compile(rb"(?<=\d) (v\d*)?(?=\n|\Z)")
WHOLE_MARK = re.compile(rb"(?<=\d) (v\d+)\n")
# Requests of the same kind on one connection, and the pause between the overuser's.
REQUESTS_ON_CONNECTION = 20
OVERUSER_PAUSE_S = 0.02
HEAD_END = b"\r\n\r\n"
# Shares of the requests whose bodies come in chunks, of those sent in pieces, and of
# the streams that are long.
CHUNKED_SHARE = 0.4
PIECES_SHARE = 0.1
LONG_SHARE = 0.06
PROMPT_COUNT = 6
# Share of the requests on routes that some configurations don't have.
PASSING_SHARE = 0.1
# Share of the requests that are deadly, by a part or as a whole, while there is one.
DEADLY_SHARE = 0.15
REQUEST_ID = b"x-agatehoist-request-id"


@dataclass(frozen=True, slots=True)
class CallerConnection:
    """Hold a connection to a gateway and the time at which it was opened."""

    http: ClientConnection
    channel: Channel
    gateway: str
    opened_at: float


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """Hold what a caller is about to send.

    The last piece of the body is sent slow_s after the head, the others at any time
    before. With a leaves_after_s, the caller closes the connection after that time, and
    takes_up the stream or gives up. The request resumes the stream that another one
    began, if it names one, after last_event_id.
    """

    route: str
    deadly_part: str = ""
    deadly_request: DeadlyRequest | None = None
    slow_s: float = 0.0
    leaves_after_s: float | None = None
    event_count: int = USUAL_EVENT_COUNT
    is_chunked: bool = False
    resumes: str = ""
    last_event_id: int = 0
    takes_up: bool = False


class SlowlyReadChannel(Channel):
    """Pause after each read."""

    def __init__(self, sock: socket.socket, peer: str, rng: random.Random) -> None:
        super().__init__(sock, peer)
        self._rng = rng

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes, some time after they came."""
        # A connection that ends without an answer is noticed at once.
        data = await super().receive(max_bytes)
        if data:
            await anyio.sleep(self._rng.uniform(0, MAX_READ_PAUSE_S))
        return data


async def open_connection(testbed: Testbed, gateway: str) -> CallerConnection:
    """Open a connection to a gateway.

    Raises ConnectionFailedError.
    """
    opened_at = time.monotonic()
    channel = await connect(HOST, testbed.fleet.ports_by_name[gateway])
    return CallerConnection(ClientConnection(channel), channel, gateway, opened_at)


async def open_slow_connection(
    testbed: Testbed, gateway: str, rng: random.Random
) -> CallerConnection:
    """Open a connection with a small buffer that is read slowly.

    Raises ConnectionFailedError.
    """
    opened_at = time.monotonic()
    port = testbed.fleet.ports_by_name[gateway]
    sock = socket.socket()
    sock.setblocking(False)
    # Bytes beyond the window are lost if it becomes smaller later.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    except OSError as error:
        sock.close()
        raise ConnectionFailedError(f"connect {HOST}:{port}") from error
    channel = SlowlyReadChannel(sock, f"{HOST}:{port}", rng)
    return CallerConnection(ClientConnection(channel), channel, gateway, opened_at)


def _pieces(data: bytes, body: bytes, planned: PlannedRequest) -> list[bytes]:
    """Return the head of an encoded request, and each part of its body apart."""
    head = data[: data.index(HEAD_END) + len(HEAD_END)]
    middle = len(body) // 2
    if not planned.is_chunked:
        return [head, body[:middle], body[middle:]]
    chunks = (
        part
        for data in (body[:middle], body[middle:])
        if data
        for part in (b"%x\r\n" % len(data), data, b"\r\n")
    )
    return [head, *chunks, b"0\r\n", b"\r\n"]


def make_resumption(
    planned: PlannedRequest, result: RequestResult
) -> PlannedRequest | None:
    """Return the request that takes up a stream, or None if it isn't taken up."""
    is_answer = result.status == HTTPStatus.OK
    last_event_id = planned.last_event_id
    if is_answer:
        last_event_id += result.body.count(EVENT_END)
    if (
        (is_answer and result.complete)
        or (result.has_left and not planned.takes_up)
        or planned.route != RESUMABLE_ROUTE
        or planned.deadly_part
        or planned.deadly_request is not None
        or not 0 < last_event_id < planned.event_count
    ):
        return None
    return PlannedRequest(
        planned.route,
        event_count=planned.event_count,
        resumes=planned.resumes or result.sent.request_id,
        last_event_id=last_event_id,
    )


def _api_key(route: str) -> str:
    if route == OVERUSER_ROUTE:
        return OVERUSER_KEY
    return GUESTS_KEY if route in PASSING_ROUTES else API_KEY


class Callers:
    """Send requests until cancelled and record their results."""

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self.results: list[RequestResult] = []
        self._testbed = testbed
        self._rng = rng
        self._resumption_rng = random.Random(rng.random())
        self._request_numbers = itertools.count(1)

    async def run(self) -> None:
        """Send requests in sequence; open a new connection when one can't be reused."""
        while True:
            gateway = self._rng.choice(self._testbed.gateways)
            is_slow = self._rng.random() < SLOW_READER_SHARE
            try:
                connection = (
                    await open_slow_connection(self._testbed, gateway, self._rng)
                    if is_slow
                    else await open_connection(self._testbed, gateway)
                )
            except ConnectionFailedError:
                await anyio.sleep(PAUSE_S)
                continue
            try:
                while await self.send_request(  # noqa: ASYNC110
                    connection, self._plan()
                ):
                    await anyio.sleep(self._pause_s())
            finally:
                connection.http.close()

    async def run_overuser(self) -> None:
        """Send requests of the organisation that is far over its allotment."""
        planned = PlannedRequest(OVERUSER_ROUTE)
        await self._run_alike(lambda: planned, OVERUSER_PAUSE_S)

    async def run_streams(self) -> None:
        """Send requests for streams that last longer than most."""
        await self._run_alike(self._plan_stream, PAUSE_S)

    async def _run_alike(
        self, make_planned: Callable[[], PlannedRequest], pause_s: float
    ) -> None:
        """Send some requests in sequence on each connection."""
        while True:
            gateway = self._rng.choice(self._testbed.gateways)
            try:
                connection = await open_connection(self._testbed, gateway)
            except ConnectionFailedError:
                await anyio.sleep(PAUSE_S)
                continue
            try:
                for _ in range(REQUESTS_ON_CONNECTION):
                    if not await self.send_request(connection, make_planned()):
                        break
                    await anyio.sleep(pause_s)
            finally:
                connection.http.close()

    async def run_slowly(self) -> None:
        """Send requests whose body ends late, each on a connection of its own."""
        while True:
            gateway = self._rng.choice(self._testbed.gateways)
            try:
                connection = await open_connection(self._testbed, gateway)
            except ConnectionFailedError:
                await anyio.sleep(PAUSE_S)
                continue
            route = self._rng.choice(("post", "trace", "credit"))
            slow_s = self._rng.uniform(0, MAX_SLOW_S)
            try:
                planned = PlannedRequest(
                    route,
                    slow_s=slow_s,
                    event_count=self._event_count(route),
                    is_chunked=self._rng.random() < CHUNKED_SHARE,
                )
                await self.send_request(connection, planned)
            finally:
                connection.http.close()

    async def send_request(
        self, connection: CallerConnection, planned: PlannedRequest
    ) -> bool:
        """Send a request, and take its stream up if that breaks off.

        Return whether its connection can be reused.
        """
        result = await self._exchange(connection, planned)
        if result.is_closing:
            await self._keep_open(connection)
        is_reusable = result.complete and connection.http.prepare_next_request()
        await self._resume(result, planned)
        return is_reusable

    async def _resume(self, result: RequestResult, planned: PlannedRequest) -> None:
        """Take up a stream that broke off, a few times, also at other gateways."""
        deadline = result.sent.sent_at + RESUMPTION_BUDGET_S
        for _ in range(MAX_RESUMPTIONS):
            resumption = make_resumption(planned, result)
            if resumption is None:
                return
            connection = await self._connect_before(deadline, result.sent.gateway)
            if connection is None:
                return
            try:
                result = await self._exchange(connection, resumption)
            finally:
                connection.http.close()
            planned = resumption

    async def _connect_before(
        self, deadline: float, last_gateway: str
    ) -> CallerConnection | None:
        """Open a connection for a resumption, after a pause."""
        rng = self._resumption_rng
        while True:
            await anyio.sleep(rng.uniform(0, rng.choice(MAX_RESUMPTION_PAUSES_S)))
            if time.monotonic() > deadline:
                return None
            is_same = rng.random() < SAME_GATEWAY_SHARE
            gateway = last_gateway if is_same else rng.choice(self._testbed.gateways)
            with suppress(ConnectionFailedError):
                return await open_connection(self._testbed, gateway)

    async def _exchange(
        self, connection: CallerConnection, planned: PlannedRequest
    ) -> RequestResult:
        """Send one request and record its result."""
        request_id = f"r{next(self._request_numbers)}"
        path_version = self._testbed.path_version
        head, body = self._build_request(request_id, planned, path_version)
        sent = self._sent(request_id, planned, path_version, connection.gateway)
        began_at = sent.sent_at
        status, received, complete, sent_whole = 0, bytearray(), False, False
        answered_id, has_left, is_closing = b"", False, False
        timeout_s = planned.leaves_after_s or REQUEST_TIMEOUT_S + planned.slow_s
        scope = anyio.move_on_after(timeout_s)
        try:
            with scope:
                data = connection.http._encode_request(head, body)
                if planned.slow_s or planned.is_chunked:
                    data = await self._send_pieces(
                        connection, planned.slow_s, *_pieces(data, body, planned)
                    )
                sent = self._sent(request_id, planned, path_version, connection.gateway)
                await connection.channel.send(data)
                sent_whole = True
                reply_head = await connection.http.read_head()
                status = reply_head.status
                answered_id = reply_head.value(REQUEST_ID) or b""
                is_closing = reply_head.value(b"connection") == b"close"
                while (data := await connection.http.read_data()) is not None:
                    received += data
                complete = True
            has_left = scope.cancelled_caught and planned.leaves_after_s is not None
        except (ConnectionFailedError, InvalidReplyError):
            complete = False
        except anyio.get_cancelled_exc_class():
            has_left = True
            raise
        finally:
            software = dict.fromkeys(WHOLE_MARK.findall(received))
            result = RequestResult(
                sent,
                status,
                SOFTWARE_MARK.sub(b"", bytes(received)),
                complete,
                time.monotonic(),
                answered_id.decode(),
                connection.opened_at,
                has_left,
                sent_whole,
                began_at,
                tuple(each.decode() for each in software),
                complete and is_closing,
            )
            self.results.append(result)
        return result

    async def _send_pieces(
        self, connection: CallerConnection, within_s: float, *pieces: bytes
    ) -> bytes:
        """Send all pieces but the last, each apart, and return that one."""
        times_s = sorted(self._rng.uniform(0, within_s) for _ in pieces[2:])
        last_s = 0.0
        for data, at_s in zip(pieces[:-1], (*times_s, within_s), strict=True):
            await connection.channel.send(data)
            await anyio.sleep(at_s - last_s)
            last_s = at_s
        return pieces[-1]

    async def _keep_open(self, connection: CallerConnection) -> None:
        """Wait for the gateway's end of a connection, for some."""
        if self._rng.random() < KEPT_SHARE:
            with suppress(ConnectionFailedError), anyio.move_on_after(MAX_KEPT_S):
                await connection.channel.receive()

    def _plan(self) -> PlannedRequest:
        rng, testbed = self._rng, self._testbed
        leaves_after_s = rng.uniform(0, 0.5) if rng.random() < ABANDONED_SHARE else None
        if testbed.deadly_requests and rng.random() < DEADLY_SHARE:
            deadly = rng.choice(testbed.deadly_requests)
            return PlannedRequest(deadly.route, "", deadly, 0.0, leaves_after_s)
        parts = sorted(testbed.harness.deadly_parts)
        part = rng.choice(parts) if parts and rng.random() < DEADLY_SHARE else ""
        is_passing = rng.random() < PASSING_SHARE
        route = rng.choice(PASSING_ROUTES if is_passing else ROUTES)
        has_body = route not in GET_ROUTES
        is_slow = has_body and rng.random() < PIECES_SHARE
        return PlannedRequest(
            route,
            part,
            slow_s=rng.uniform(0, LATE_REQUESTS_S) if is_slow else 0.0,
            leaves_after_s=leaves_after_s,
            event_count=self._event_count(route),
            is_chunked=has_body and rng.random() < CHUNKED_SHARE,
        )

    def _plan_stream(self) -> PlannedRequest:
        route = self._rng.choice(LASTING_ROUTES)
        event_count = self._rng.choice(LASTING_EVENT_COUNTS)
        is_cut_off = self._rng.random() < CUT_OFF_SHARE
        until_cut_off_s = self._rng.uniform(0, MAX_UNTIL_CUT_OFF_S)
        return PlannedRequest(
            route,
            leaves_after_s=until_cut_off_s if is_cut_off else None,
            event_count=event_count,
            takes_up=is_cut_off,
        )

    def _event_count(self, route: str) -> int:
        if route in STREAMED_ROUTES and self._rng.random() < LONG_SHARE:
            return self._rng.choice(LONG_EVENT_COUNTS)
        return USUAL_EVENT_COUNT

    def _pause_s(self) -> float:
        is_long = self._rng.random() < LONG_PAUSE_SHARE
        return self._rng.uniform(0, MAX_LONG_PAUSE_S if is_long else PAUSE_S)

    def _sent(
        self, request_id: str, planned: PlannedRequest, path_version: int, gateway: str
    ) -> SentRequest:
        return SentRequest(
            request_id,
            planned.route,
            path_version,
            gateway,
            time.monotonic(),
            self._testbed.fault_free_since(gateway),
            planned.deadly_part,
            planned.deadly_request.name if planned.deadly_request else "",
            planned.event_count,
            planned.resumes,
            planned.last_event_id,
        )

    def _build_request(
        self, request_id: str, planned: PlannedRequest, path_version: int
    ) -> tuple[RequestHead, bytes]:
        route, deadly = planned.route, planned.deadly_request
        path = f"/look-{path_version}/x" if route == "look" else f"/{route}/x"
        if planned.event_count != USUAL_EVENT_COUNT:
            path = stream_path(route, planned.event_count)
        method = "GET" if route in GET_ROUTES else "POST"
        body = b"" if method == "GET" else f'{{"id": "{request_id}"}}'.encode()
        prompt = self._rng.randrange(PROMPT_COUNT)
        if deadly is not None:
            method, path, body = deadly.method, deadly.path, deadly.body
            prompt = deadly.prompt
        headers = {
            "host": "a.example",
            "api-key": _api_key(route),
            REQUEST_ID.decode(): request_id,
        }
        if planned.is_chunked:
            headers["transfer-encoding"] = "chunked"
        else:
            headers["content-length"] = str(len(body))
        if planned.resumes:
            headers["last-event-id"] = str(planned.last_event_id)
            headers["resumes"] = planned.resumes
        if route in STREAMED_ROUTES:
            parts = [f"a{prompt}:100", f"b{prompt}:30"]
            if planned.deadly_part:
                parts.insert(1, f"{planned.deadly_part}:20")
            # Token counts: of the prompt and the answer, and of each prefix part.
            headers |= {
                "x-agatehoist-model-name": MODEL,
                "x-agatehoist-token-count": "150,5" if planned.deadly_part else "130,5",
                "x-agatehoist-prompt-prefix": ",".join(parts),
            }
        pairs = tuple((n.encode(), v.encode()) for n, v in headers.items())
        return RequestHead(method.encode(), path.encode(), pairs), body
