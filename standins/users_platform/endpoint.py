"""Endpoint stand-ins of the users' platform: model engines and applications."""

from __future__ import annotations

import enum
import json
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import h11

from agatehoist.core.registry import Registry
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.server import ServerConnection
from standins.raw_replies import INVALID_STATUSES
from standins.users_platform.kv_cache import KvNetwork, PartMemory
from standins.users_platform.loopback import HOST, serve_requests

if TYPE_CHECKING:
    from collections.abc import Set

    from agatehoist.http1.channel import Channel
    from agatehoist.http1.types import Request

REQUEST_ID = b"x-agatehoist-request-id"
STAMP = b"x-agatehoist-server-stamp"
ORGANISATION = "x-agatehoist-tenant-id"
PRIORITY = "x-agatehoist-request-priority"
DEFAULT_PRIORITY = "5"
STREAM = (b"content-type", b"text/event-stream")
CHUNKED = (b"transfer-encoding", b"chunked")
RETRY_AFTER = b"retry-after"
COPY_TARGET = b"/agatehoist/kv-handle/"
NOT_EXECUTED = ((b"x-agatehoist-not-executed", b"1"),)
EVENT_INTERVAL_S = 0.01
WEIGHTS_LOAD_S = 0.05
# Longer than a gateway waits for data if another endpoint may continue the stream.
STALL_S = 0.7
# Silence of a sound endpoint, which then goes on.
SILENCE_S = 1.2
# Events before a silence in the middle of a stream.
EVENTS_BEFORE_SILENCE = 2
# An answer that is larger than what the sockets on its way buffer.
FLOOD_EVENTS = 4000
FLOOD_DATA = "x" * 4000
# Time from the start of a deadly run to the crash.
PREFILL_S = 0.05
DOWN_S = 0.5
LARGE_ANSWER_BYTES = 3_000_000
LATE_S = 2.5

FAULTS: Registry[Callable[..., Awaitable[None]]] = Registry("fault of an endpoint")
# Of calls that stop a run; it is stopped in any case.
MOVE_FAULTS: Registry[Callable[..., Awaitable[None]]] = Registry("fault of a move")
# Answers that HTTP doesn't show to be faulty, or with other bytes than the usual ones.
UNUSUAL_ANSWERS: Registry[Callable[..., Awaitable[None]]] = Registry("unusual answer")


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Hold what the repetitions of a request have in common."""

    method: str
    target: str
    organisation: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Record a request that an endpoint ran, as the endpoint received it."""

    request_id: str
    headers_by_name: dict[str, str]
    target: str
    body: bytes
    method: str = "GET"
    received_at: float = field(default_factory=time.monotonic)
    # Those of the endpoint as it ran the request.
    software: str = ""
    is_unframed: bool = False

    @property
    def identity(self) -> RequestIdentity:
        """Return what the request has in common with its repetitions."""
        organisation = self.headers_by_name.get(ORGANISATION, "")
        return RequestIdentity(self.method, self.target, organisation, self.body)

    def holds_part(self, parts: Set[str]) -> bool:
        """Return whether the prompt holds one of these parts, but not as its last."""
        prefix = self.headers_by_name.get("x-agatehoist-prompt-prefix", "")
        ids = [each.strip().partition(":")[0] for each in prefix.split(",")]
        return not parts.isdisjoint(ids[:-1])


@dataclass(frozen=True, slots=True)
class Crash:
    """Record when an endpoint crashed, and the request whose run caused it, if any."""

    at: float
    request_id: str


class Ending(enum.Enum):
    """Name how a run ended: as complete, by a gateway or by the endpoint itself."""

    WHOLE = "whole"
    MOVED = "moved"
    CALLER_GONE = "caller gone"
    BROKEN_OFF = "broken off"
    CRASHED = "crashed"

    @property
    def is_of_endpoint(self) -> bool:
        """Return whether the endpoint itself ended the run early."""
        return self in (Ending.BROKEN_OFF, Ending.CRASHED)


@dataclass(frozen=True, slots=True)
class RunEnd:
    """Record how and when a run ended, and the fault of it or of its move, if any."""

    request_id: str
    ending: Ending
    fault: str
    at: float


@dataclass
class EndpointStandIn:
    """Run requests; each one takes the first entry of faults, if there is one.

    An entry names a fault of FAULTS or one of UNUSUAL_ANSWERS, or is "shed", which
    refuses the request before it runs; an empty one is no fault. Orders take entries of
    order_faults alike, where "lost" loads the weights, then resets the connection in
    place of a reply.

    run_ends has an entry for each run that has ended, also for continued ones, and
    busy_periods one for each order, from its acceptance until its weights are loaded.
    stopped holds the ids of requests whose run was moved away. busy is set from the
    acceptance of an order until its weights are loaded. A request waits queue_s before
    it starts, and is dropped if its caller leaves meanwhile. rejections names why
    requests were refused without a run.

    on_request is called before a request is checked, on_move before a run is stopped.
    before_copy and after_copy are called at the destination of a run that was stopped
    to be moved, before_first_copy at that of one that goes on meanwhile. move_faults
    are those of calls that stop a run, of MOVE_FAULTS. A run is stopped stop_delay_s
    after its call has arrived, inside an event if stops_inside_event. freed has the
    handles of copies that were given up.

    Streams have neither a length nor chunks if they are_unframed. The data of events
    names the software if it marks_events.

    All answers state limit_per_s, if it is set, and whether the endpoint is_leaving;
    refusals also state pause_s. Arrivals are those of all requests, run or refused.

    A run whose prompt holds one of deadly_parts crashes the endpoint when it begins to
    write its answer. So does a run of one of deadly_requests; if it streams, only once
    it has sent crash_after_events events.
    """

    name: str
    service: str
    model: str = ""
    version: int = 1
    # Models besides `model`, whose weights change without an effect on runs.
    versions_by_other_model: dict[str, int] = field(default_factory=dict)
    software: str = "v1"
    event_count: int = 5
    # Of streams that aren't as long as the others.
    event_counts_by_target: dict[str, int] = field(default_factory=dict)
    event_interval_s: float = EVENT_INTERVAL_S
    faults: list[str] = field(default_factory=list)
    runs: list[ReceivedRequest] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    order_times: list[float] = field(default_factory=list)
    order_faults: list[str] = field(default_factory=list)
    kv_network: KvNetwork = field(default_factory=KvNetwork)
    parts: PartMemory = field(default_factory=PartMemory)
    rejections: list[str] = field(default_factory=list)
    continued_runs: list[ReceivedRequest] = field(default_factory=list)
    run_ends: list[RunEnd] = field(default_factory=list)
    on_move: Callable[[], None] = lambda: None
    on_request: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    before_copy: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    after_copy: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    before_first_copy: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    move_faults: list[str] = field(default_factory=list)
    stop_delay_s: float = 0.0
    stops_inside_event: bool = False
    are_unframed: bool = False
    marks_events: bool = False
    # Whether a run that was stopped can be continued where it was.
    keeps_stopped_runs: bool = True
    freed: list[str] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    active: int = 0
    busy: bool = False
    busy_periods: list[tuple[float, float]] = field(default_factory=list)
    # Whether its reports are as of a time before its runs began.
    reports_no_runs: bool = False
    checks_version: bool = True
    deadly_parts: set[str] = field(default_factory=set)
    deadly_requests: set[RequestIdentity] = field(default_factory=set)
    crash_after_events: int = 0
    down_s: float = DOWN_S
    crashes: list[Crash] = field(default_factory=list)
    crashed: anyio.Event = field(default_factory=anyio.Event)
    queue_s: float = 0.0
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    arrivals: list[float] = field(default_factory=list)
    arrival_ids: list[str] = field(default_factory=list)
    # Whether a refusal is sent once more before the next answer on its connection,
    # with the id of its request or without ("named", "unnamed").
    repeats_refusals: str = ""
    port: int = 0
    # Start of the endpoint in epoch milliseconds.
    started_ms: int = 1_700_000_000_000
    _connection_scopes: set[anyio.CancelScope] = field(default_factory=set)
    _ended_unframed: set[str] = field(default_factory=set)
    _move_faults_by_run: dict[str, str] = field(default_factory=dict)
    _stopping_at_by_run: dict[str, float] = field(default_factory=dict)
    _run_scopes: set[anyio.CancelScope] = field(default_factory=set)
    _weights_changes: int = 0
    _made_under_by_copy: dict[str, int] = field(default_factory=dict)
    _version_by_run: dict[str, int] = field(default_factory=dict)
    _priority_by_run: dict[str, int] = field(default_factory=dict)
    _stale_refusals: dict[ServerConnection, bytes] = field(default_factory=dict)

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        with anyio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            try:
                await serve_requests(channel, self._answer)
            finally:
                self._connection_scopes.discard(scope)

    @property
    def address(self) -> str:
        """Return HOST:PORT of the endpoint."""
        return f"{HOST}:{self.port}"

    def listen_at(self, port: int, kv_network: KvNetwork) -> None:
        """Join the network of the KV caches under a port."""
        self.port, self.kv_network = port, kv_network
        kv_network.parts_by_address[self.address] = self.parts
        kv_network.receivers_by_address[self.address] = self._receive_copy

    def change_weights(self, version: int) -> None:
        """Load weights at once, and reset the runs."""
        self._reset_runs()
        self.version = version
        self._weights_changes += 1
        self.parts.version_by_part.clear()

    def restart(self, version: int | None = None) -> None:
        """Begin a new lifetime under the same name and address, with nothing kept."""
        for scope in tuple(self._connection_scopes):
            scope.cancel()
        self.change_weights(self.version if version is None else version)
        self.started_ms += 1
        self.crashed = anyio.Event()
        self.busy = False
        self.orders.clear()
        self.order_times.clear()
        self._stopping_at_by_run.clear()
        self._made_under_by_copy.clear()

    def crash(self, request_id: str = "") -> None:
        """End all connections and accept none for down_s."""
        if not self.crashed.is_set():
            self.crashes.append(Crash(time.monotonic(), request_id))
            self.crashed.set()

    def entry(self, port: int) -> dict[str, Any]:
        """Return the object that the endpoint writes to the store about itself."""
        return {
            "Service": self.service,
            "Address": f"{HOST}:{port}",
            "Zone": "z1",
            "Version": self.software,
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Models": self._models(),
            "SeqNo": len(self.orders),
            "born": self.started_ms,
        }

    async def _answer(self, connection: ServerConnection, request: Request) -> None:
        headers = {
            name.decode(): value.decode() for name, value in request.head.headers
        }
        if request.head.target == b"/agatehoist/report":
            await _send_json(connection, 200, self._report())
        elif headers.get("x-agatehoist-expect-instance") not in (None, self.name):
            await connection.send_reply(421, _echoed_id(headers), b"")
        elif request.head.target == b"/agatehoist/kv-move":
            await self._move_run(connection, json.loads(request.body))
        elif request.head.target.startswith(COPY_TARGET):
            handle = request.head.target.removeprefix(COPY_TARGET).decode()
            await self._free_copy(connection, handle)
        elif request.head.target == b"/agatehoist/order":
            await self._handle_order(connection, json.loads(request.body))
        else:
            await self._admit(connection, request, headers)

    async def _admit(
        self, connection: ServerConnection, request: Request, headers: dict[str, str]
    ) -> None:
        """Run a request, or refuse it before it starts."""
        self.arrivals.append(time.monotonic())
        self.arrival_ids.append(headers.get(REQUEST_ID.decode(), ""))
        stale = self._stale_refusals.pop(connection, b"")
        if stale:
            await connection._channel.send(stale)
        await self.on_request()
        if self._has_unexpected_weights(headers):
            self.rejections.append("other weights")
            stated = (*self._weights_headers(), *self.statement_headers())
            await connection.send_reply(421, (*_echoed_id(headers), *stated), b"")
            return
        weights_changes = self._weights_changes
        if self.queue_s:
            with anyio.move_on_after(self.queue_s):
                await connection.wait_closed()
                self.rejections.append("caller gone")
                return
        has_prompt = "x-agatehoist-model-name" in headers
        if has_prompt and (self.busy or self._weights_changes != weights_changes):
            await self._reject(connection, headers, "weights change")
        elif headers.get("kv-from", "") not in ("", *self._made_under_by_copy):
            await self._reject(connection, headers, "no copy")
        else:
            await self._run(connection, request, headers)

    async def _reject(
        self, connection: ServerConnection, request: dict[str, str], reason: str
    ) -> None:
        self.rejections.append(reason)
        named = _echoed_id(request)
        pause = () if self.pause_s is None else ((RETRY_AFTER, _text(self.pause_s)),)
        headers = (*NOT_EXECUTED, *pause, *named, *self.statement_headers())
        await connection.send_reply(503, headers, b"")
        if self.repeats_refusals:
            stale = NOT_EXECUTED if self.repeats_refusals == "unnamed" else headers
            self._stale_refusals[connection] = _raw_refusal(stale)

    async def _run(
        self, connection: ServerConnection, request: Request, headers: dict[str, str]
    ) -> None:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "shed":
            await self._reject(connection, headers, "shed")
            return
        request_id = headers.get(REQUEST_ID.decode(), "")
        run = ReceivedRequest(
            request_id,
            headers,
            request.head.target.decode(),
            request.body,
            request.head.method.decode(),
            software=self.software,
            is_unframed=self.are_unframed,
        )
        continued = "kv-from" in headers
        (self.continued_runs if continued else self.runs).append(run)
        self._use_cache(run)
        # A run that was moved away may be tried here again. An order that is still to
        # be carried out stops the run that is here then.
        if self._is_stopped(run):
            self._stopping_at_by_run.pop(run.request_id)
        self._ended_unframed.discard(request_id)
        self._move_faults_by_run.pop(request_id, None)
        self.active += 1
        priority = headers.get(PRIORITY, DEFAULT_PRIORITY)
        self._priority_by_run[request_id] = int(priority)
        ending = Ending.BROKEN_OFF
        try:
            with anyio.CancelScope() as scope:
                self._run_scopes.add(scope)
                await self._answer_run(connection, run, fault)
                if _has_ended_reply(connection) or request_id in self._ended_unframed:
                    ending = Ending.WHOLE
                elif self._is_stopped(run):
                    ending = Ending.MOVED
            if scope.cancelled_caught:
                connection.abort()
        except ConnectionFailedError:
            ending = Ending.CALLER_GONE
            raise
        finally:
            if self.crashed.is_set() and ending is not Ending.WHOLE:
                ending = Ending.CRASHED
            fault = fault or self._move_faults_by_run.get(request_id, "")
            end = RunEnd(run.request_id, ending, fault, time.monotonic())
            self.run_ends.append(end)
            self._run_scopes.discard(scope)
            self._version_by_run.pop(run.request_id, None)
            self._priority_by_run.pop(run.request_id, None)
            self.active -= 1

    async def _answer_run(
        self, connection: ServerConnection, run: ReceivedRequest, fault: str
    ) -> None:
        if run.identity in self.deadly_requests:
            await self._crash_in_run(connection, run, self.crash_after_events)
        elif run.holds_part(self.deadly_parts):
            await self._crash_in_run(connection, run, 0)
        elif fault in UNUSUAL_ANSWERS:
            await UNUSUAL_ANSWERS[fault](self, connection, run)
        elif fault:
            await FAULTS[fault](self, connection, run)
        elif "x-agatehoist-model-name" in run.headers_by_name:
            await self.stream(connection, run)
        else:
            await self.reply(connection, run, 200)

    async def _crash_in_run(
        self, connection: ServerConnection, run: ReceivedRequest, event_count: int
    ) -> None:
        await anyio.sleep(PREFILL_S)
        if event_count and "x-agatehoist-model-name" in run.headers_by_name:
            await self._send_events(connection, run, event_count)
        self.crash(run.request_id)
        await anyio.sleep_forever()

    def _use_cache(self, run: ReceivedRequest) -> None:
        """Read the prompt of a run as the headers of its request say."""
        headers, network = run.headers_by_name, self.kv_network
        self._version_by_run[run.request_id] = self.version
        if copy := headers.get("kv-from"):
            made_under = self._made_under_by_copy.pop(copy)
            network.note_use(run.request_id, "copy", made_under, self.version)
        salt = headers.get("x-agatehoist-cache-salt", "")
        parts = headers.get("x-agatehoist-prompt-prefix", "").split(",")
        part_ids = [part_id for each in parts if (part_id := each.partition(":")[0])]
        fetched_from = headers.get("x-agatehoist-kv-fetch", "")
        network.fetch(self.parts, fetched_from, salt, part_ids)
        for made_under in self.parts.read(salt, part_ids, self.version):
            network.note_use(run.request_id, "part", made_under, self.version)
        network.save(
            self.parts, headers.get("x-agatehoist-kv-save", ""), salt, part_ids
        )

    def _reset_runs(self) -> None:
        for scope in tuple(self._run_scopes):
            scope.cancel()

    async def _receive_copy(self, name: str, made_under: int, is_last: bool) -> None:
        await (self.before_copy() if is_last else self.before_first_copy())
        self._made_under_by_copy[name] = made_under
        if is_last:
            await self.after_copy()

    async def reply(
        self, connection: ServerConnection, run: ReceivedRequest, status: int
    ) -> None:
        """Send a complete answer."""
        body = f"{run.request_id} by {self.name}".encode()
        await connection.send_reply(status, self.answer_headers(run), body)

    async def stream(
        self,
        connection: ServerConnection,
        run: ReceivedRequest,
        count: int | None = None,
    ) -> None:
        """Send the events after the request's last-event-id.

        With a count, reset the connection after so many events.
        """
        ended = await self._send_events(connection, run, count)
        if run.is_unframed and count is None:
            connection.close()
            if ended:
                self._ended_unframed.add(run.request_id)
        elif ended and count is None:
            await connection.end()
        else:
            connection.abort()

    async def _send_events(
        self, connection: ServerConnection, run: ReceivedRequest, count: int | None
    ) -> bool:
        """Send count events, or all; return False if the run was moved meanwhile."""
        first = int(run.headers_by_name.get("last-event-id", "0"))
        send = await self._begin_stream(connection, run)
        until = self.event_count_of(run) if count is None else first + count
        mark = f" {run.software}" if self.marks_events else ""
        # Sleeps beside load add up to far more than their sum.
        due_at = anyio.current_time()
        for number in range(first + 1, until + 1):
            event = f"id: {number}\ndata: t{number}{mark}\n\n".encode()
            if self._is_stopped(run):
                if self.stops_inside_event:
                    await send(event[:-3])
                return False
            await send(event)
            due_at += self.event_interval_s
            await anyio.sleep_until(due_at)
        return True

    async def _begin_stream(
        self, connection: ServerConnection, run: ReceivedRequest
    ) -> Callable[[bytes], Awaitable[None]]:
        """Send the head of a stream, and return how its events are sent."""
        if run.is_unframed:
            await _send_raw(self, connection, run, b"\r\n")
            return connection._channel.send
        await connection.send_head(200, (*self.answer_headers(run), STREAM, CHUNKED))
        return connection.send_data

    def _is_stopped(self, run: ReceivedRequest) -> bool:
        stopping_at = self._stopping_at_by_run.get(run.request_id)
        return stopping_at is not None and anyio.current_time() >= stopping_at

    def event_count_of(self, run: ReceivedRequest) -> int:
        """Return how many events the whole answer to a request has."""
        return self.event_counts_by_target.get(run.target, self.event_count)

    def answer_headers(self, run: ReceivedRequest) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers that name the request, the endpoint and its weights."""
        identity_headers = (
            (REQUEST_ID, run.request_id.encode()),
            (STAMP, self.name.encode()),
        )
        return (*identity_headers, *self._weights_headers(), *self.statement_headers())

    def statement_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers in which the endpoint speaks of itself."""
        limit, leaving = self.limit_per_s, self.is_leaving
        stated = () if limit is None else ((b"server-limit", _text(limit)),)
        return (*stated, (b"server-leaving", b"1")) if leaving else stated

    def _weights_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        if not self.model:
            return ()
        return ((b"x-agatehoist-weight-versions", str(self.version).encode()),)

    def _has_unexpected_weights(self, headers: dict[str, str]) -> bool:
        expected = headers.get("x-agatehoist-expect-version")
        if expected is None or not self.checks_version:
            return False
        return int(expected) != self.version

    def _models(self) -> list[dict[str, Any]]:
        if not self.model:
            return []
        versions = {self.model: self.version, **self.versions_by_other_model}
        return [
            {"Name": model, "Version": version, "Adapters": []}
            for model, version in versions.items()
        ]

    def _described_runs(self) -> list[list[Any]]:
        # Of the tokens in memory and the events made, no use is made.
        return [[name, 0, 0, each] for name, each in self._priority_by_run.items()]

    def _report(self) -> dict[str, Any]:
        return {
            "Stage": "colocated",
            "Models": self._models(),
            "Busy": self.busy,
            "SeqNo": len(self.orders),
            "Queued": 0,
            "Running": 0 if self.reports_no_runs else self.active,
            "Runs": [] if self.reports_no_runs else self._described_runs(),
        }

    async def _move_run(
        self, connection: ServerConnection, move: dict[str, Any]
    ) -> None:
        is_last = bool(move.get("Last"))
        if is_last:
            self.on_move()
        request_id = move["Id"]
        made_under = self._version_by_run.get(request_id)
        receive = self.kv_network.receivers_by_address.get(move["To"])
        if made_under is None:
            await connection.send_reply(404, (), b"")
            return
        handle = f"copy-of-{request_id}"
        name = f"{self.address}/{handle}"
        if is_last:
            self.stopped.add(request_id)
            self._stopping_at_by_run[request_id] = (
                anyio.current_time() + self.stop_delay_s
            )
            if self.keeps_stopped_runs:
                self._made_under_by_copy[name] = made_under
        fault = self.move_faults.pop(0) if is_last and self.move_faults else ""
        if fault:
            self._move_faults_by_run[request_id] = f"{fault} last step"
        if receive is not None:
            await receive(name, made_under, is_last)
        if fault:
            await MOVE_FAULTS[fault](connection)
        else:
            status = 503 if receive is None else 200
            await _answer_move(connection, status, handle if receive or is_last else "")

    async def _free_copy(self, connection: ServerConnection, handle: str) -> None:
        for name in tuple(self._made_under_by_copy):
            if name.endswith(f"/{handle}"):
                del self._made_under_by_copy[name]
                self.freed.append(handle)
        await connection.send_reply(200, (), b"")

    async def _handle_order(
        self, connection: ServerConnection, order: dict[str, Any]
    ) -> None:
        fault = self.order_faults.pop(0) if self.order_faults else ""
        if order["ExpectedRev"] != len(self.orders) or self.busy:
            await connection.send_reply(409, (), b"")
            return
        self.orders.append(order)
        self.order_times.append(time.monotonic())
        self.busy = True
        if fault == "lost":
            await self._load(order)
            connection.abort()
            return
        # It is carried out also if nobody waits for the answer any more.
        with suppress(ConnectionFailedError):
            await connection.send_reply(202, (), b"")
        await self._load(order)

    async def _load(self, order: dict[str, Any]) -> None:
        began_at = time.monotonic()
        try:
            await self._change_weights_by(order)
        finally:
            self.busy_periods.append((began_at, time.monotonic()))

    async def _change_weights_by(self, order: dict[str, Any]) -> None:
        if order.get("Model") in self.versions_by_other_model:
            await anyio.sleep(WEIGHTS_LOAD_S)
            self.versions_by_other_model[order["Model"]] = order["Version"]
            self.busy = False
            return
        if order["Mode"] == "truncate":
            self._reset_runs()
        while self.active:  # noqa: ASYNC110
            await anyio.sleep(EVENT_INTERVAL_S)
        await anyio.sleep(WEIGHTS_LOAD_S)
        self.change_weights(order["Version"])
        self.busy = False


def _has_ended_reply(connection: ServerConnection) -> bool:
    return connection._http.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


def _text(number: float) -> bytes:
    return str(number).encode()


def _echoed_id(request: dict[str, str]) -> tuple[tuple[bytes, bytes], ...]:
    request_id = request.get(REQUEST_ID.decode())
    return () if request_id is None else ((REQUEST_ID, request_id.encode()),)


def _raw_refusal(headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    lines = [b"HTTP/1.1 503 ", *(b": ".join(each) for each in headers)]
    return b"\r\n".join([*lines, b"content-length: 0", b"", b""])


async def _answer_move(connection: ServerConnection, status: int, handle: str) -> None:
    if handle:
        await _send_json(connection, status, {"handle": handle, "Created": 1})
    else:
        await connection.send_reply(status, (), b"")


@MOVE_FAULTS.register("lost")
async def _lose_move_reply(connection: ServerConnection) -> None:
    connection.abort()


@MOVE_FAULTS.register("late")
async def _reply_to_move_too_late(connection: ServerConnection) -> None:
    await anyio.sleep(LATE_S)
    await _send_json(connection, 200, {"handle": "late", "Created": 1})


@MOVE_FAULTS.register("mute")
async def _never_reply_to_move(connection: ServerConnection) -> None:
    await connection.wait_closed()


@MOVE_FAULTS.register("failed")
async def _fail_move(connection: ServerConnection) -> None:
    await connection.send_reply(500, (), b"")


@FAULTS.register("reset")
async def _reset(
    _endpoint: EndpointStandIn, connection: ServerConnection, _run: ReceivedRequest
) -> None:
    connection.abort()


@FAULTS.register("mute")
async def _never_answer(
    _endpoint: EndpointStandIn, connection: ServerConnection, _run: ReceivedRequest
) -> None:
    await connection.wait_closed()


@FAULTS.register("fail")
async def _fail(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await endpoint.reply(connection, run, 500)


@UNUSUAL_ANSWERS.register("missing")
async def _answer_not_found(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await endpoint.reply(connection, run, 404)


@UNUSUAL_ANSWERS.register("large")
async def _answer_at_length(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    headers = endpoint.answer_headers(run)
    await connection.send_reply(200, headers, b"y" * LARGE_ANSWER_BYTES)


@UNUSUAL_ANSWERS.register("late")
async def _answer_late(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await anyio.sleep(LATE_S)
    await endpoint.reply(connection, run, 200)


@UNUSUAL_ANSWERS.register("plain")
async def _answer_without_events(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await endpoint.reply(connection, run, 200)


@FAULTS.register("cut")
async def _reset_after_two_events(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await endpoint.stream(connection, run, 2)


@FAULTS.register("unstamped")
async def _answer_without_stamp(
    _endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    identity_headers = ((REQUEST_ID, run.request_id.encode()),)
    await connection.send_reply(200, identity_headers, b"somebody's bytes")


@FAULTS.register("crossed")
async def _answer_another_request(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    other = ReceivedRequest("another", {}, "/", b"")
    await endpoint.reply(connection, other, 200)


@FAULTS.register("garbled")
async def _send_invalid_bytes(
    _endpoint: EndpointStandIn, connection: ServerConnection, _run: ReceivedRequest
) -> None:
    await connection._channel.send(b"\x00\x01 no answer\r\n\r\n")
    connection.abort()


async def _send_json(connection: ServerConnection, status: int, value: Any) -> None:
    headers = ((b"content-type", b"application/json"),)
    await connection.send_reply(status, headers, json.dumps(value).encode())


@FAULTS.register("stall")
async def _pause_before_the_last_event(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    first = int(run.headers_by_name.get("last-event-id", "0"))
    event_count = endpoint.event_count_of(run)
    for number in range(first + 1, event_count + 1):
        if number == event_count:
            await anyio.sleep(STALL_S)
        await connection.send_data(f"id: {number}\ndata: t{number}\n\n".encode())
    await connection.end()


@FAULTS.register("silent_before_head")
async def _be_silent_before_the_head(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _be_silent(connection)
    if endpoint.model:
        await endpoint.stream(connection, run)
    else:
        await endpoint.reply(connection, run, 200)


@FAULTS.register("silent_before_body")
async def _be_silent_before_the_body(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _stream_with_silence(endpoint, connection, run, 0)


@FAULTS.register("silent_between_events")
async def _be_silent_between_events(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _stream_with_silence(endpoint, connection, run, EVENTS_BEFORE_SILENCE)


async def _be_silent(connection: ServerConnection) -> None:
    """Send nothing for SILENCE_S, or until the peer closes the connection."""
    with anyio.move_on_after(SILENCE_S):
        await connection.wait_closed()


async def _stream_with_silence(
    endpoint: EndpointStandIn,
    connection: ServerConnection,
    run: ReceivedRequest,
    events_before: int,
) -> None:
    """Send a whole answer with a silence after some events."""
    stream = (STREAM,) if endpoint.model else ()
    await connection.send_head(200, (*endpoint.answer_headers(run), *stream, CHUNKED))
    body = _raw_body(endpoint, run)
    parts = body.split(b"\n\n")
    begun = b"".join(part + b"\n\n" for part in parts[:events_before])
    if begun:
        await connection.send_data(begun)
    await _be_silent(connection)
    await connection.send_data(body.removeprefix(begun))
    await connection.end()


@UNUSUAL_ANSWERS.register("flood")
async def _send_more_than_buffers_hold(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    for number in range(1, FLOOD_EVENTS + 1):
        event = f"id: {number}\ndata: {FLOOD_DATA}\n\n"
        await connection.send_data(event.encode())
    await connection.end()


async def _send_without_end(connection: ServerConnection, data: bytes) -> None:
    """Send the same bytes until the peer closes the connection."""
    try:
        while True:
            await connection._channel.send(data)
            await anyio.lowlevel.checkpoint()
    except ConnectionFailedError:
        connection.abort()


@FAULTS.register("endless_head")
async def _endless_head(
    _endpoint: EndpointStandIn, connection: ServerConnection, _run: ReceivedRequest
) -> None:
    await connection._channel.send(b"HTTP/1.1 200 OK\r\n")
    await _send_without_end(connection, b"x-more: " + b"y" * 4096 + b"\r\n")


@FAULTS.register("endless_interim")
async def _endless_interim(
    _endpoint: EndpointStandIn, connection: ServerConnection, _run: ReceivedRequest
) -> None:
    await _send_without_end(connection, b"HTTP/1.1 100 Continue\r\n\r\n")


@FAULTS.register("endless_body")
async def _endless_body(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), CHUNKED))
    await _send_without_end(connection, b"1000\r\n" + b"y" * 4096 + b"\r\n")


@FAULTS.register("endless_event")
async def _endless_event(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    await _send_without_end(connection, b"1000\r\n" + b"y" * 4096 + b"\r\n")


@UNUSUAL_ANSWERS.register("endless_events")
async def _endless_events(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    events = b"id: 1\ndata: " + b"y" * 400 + b"\n\n"
    chunk = f"{10 * len(events):x}".encode() + b"\r\n" + 10 * events + b"\r\n"
    await _send_without_end(connection, chunk)


def _raw_body(endpoint: EndpointStandIn, run: ReceivedRequest) -> bytes:
    """Return the body of a complete answer."""
    if not endpoint.model:
        return f"{run.request_id} by {endpoint.name}".encode()
    first = int(run.headers_by_name.get("last-event-id", "0"))
    numbers = range(first + 1, endpoint.event_count_of(run) + 1)
    return b"".join(f"id: {each}\ndata: t{each}\n\n".encode() for each in numbers)


def _cut_body(endpoint: EndpointStandIn, run: ReceivedRequest) -> bytes:
    """Return the body, that of a stream without the last byte."""
    body = _raw_body(endpoint, run)
    return body[:-1] if endpoint.model else body


async def _send_raw(
    endpoint: EndpointStandIn,
    connection: ServerConnection,
    run: ReceivedRequest,
    rest: bytes,
    *framing: bytes,
    status: bytes = b"200 OK",
) -> None:
    """Send a head with no other framing headers than the given ones, and the rest."""
    headers = [*endpoint.answer_headers(run)]
    headers += [STREAM] if endpoint.model else []
    lines = [b"HTTP/1.1 " + status, *(b": ".join(each) for each in headers), *framing]
    await connection._channel.send(b"\r\n".join([*lines, rest]))


@FAULTS.register("unframed")
async def _end_with_the_connection(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _send_raw(endpoint, connection, run, b"\r\n" + _raw_body(endpoint, run))
    connection.close()


@FAULTS.register("unframed_half_closed")
async def _end_with_one_direction(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    body = b"\r\n" + _raw_body(endpoint, run)
    await _send_raw(endpoint, connection, run, body, b"connection: keep-alive")
    connection._channel._sock.shutdown(socket.SHUT_WR)
    with anyio.move_on_after(STALL_S):
        # A request sent on this connection gets no reply.
        await connection.wait_closed()


@FAULTS.register("unframed_cut")
async def _end_without_the_last_byte(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    body = b"\r\n" + _cut_body(endpoint, run)
    await _send_raw(endpoint, connection, run, body)
    connection.close()


@FAULTS.register("unframed_reset")
async def _reset_in_place_of_the_end(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _send_raw(endpoint, connection, run, b"\r\n" + _raw_body(endpoint, run))
    await anyio.sleep(EVENT_INTERVAL_S)
    connection.abort()


async def _answer_with_status(
    status: str,
    endpoint: EndpointStandIn,
    connection: ServerConnection,
    run: ReceivedRequest,
) -> None:
    body = _raw_body(endpoint, run)
    length = f"content-length: {len(body)}".encode()
    rest = b"\r\n" + body
    await _send_raw(
        endpoint, connection, run, rest, length, status=f"{status} Odd".encode()
    )
    connection.close()


for _status in INVALID_STATUSES:
    UNUSUAL_ANSWERS.register(f"status_{_status}")(partial(_answer_with_status, _status))


@FAULTS.register("half_head")
async def _end_inside_the_head(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _send_raw(endpoint, connection, run, b"")
    connection.close()


@UNUSUAL_ANSWERS.register("head_only")
async def _end_after_the_head(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _send_raw(endpoint, connection, run, b"\r\n")
    connection.close()


@FAULTS.register("short")
async def _end_before_the_length(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    body = _raw_body(endpoint, run)
    length = f"content-length: {len(body) + 1}".encode()
    await _send_raw(endpoint, connection, run, b"\r\n" + body, length)
    connection.close()


@FAULTS.register("chunks_unended")
async def _end_before_the_last_chunk(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    body = _raw_body(endpoint, run)
    chunk = b"\r\n" + f"{len(body):x}".encode() + b"\r\n" + body + b"\r\n"
    await _send_raw(endpoint, connection, run, chunk, b": ".join(CHUNKED))
    connection.close()


@FAULTS.register("chunks_cut")
async def _end_the_chunks_inside_an_event(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    stream = (STREAM,) if endpoint.model else ()
    await connection.send_head(200, (*endpoint.answer_headers(run), *stream, CHUNKED))
    if body := _cut_body(endpoint, run):
        await connection.send_data(body)
    await connection.end()


async def _endless_reply(
    endpoint: EndpointStandIn,
    connection: ServerConnection,
    run: ReceivedRequest,
    status: bytes,
    *headers: bytes,
) -> None:
    """Send a reply whose body has neither a length nor an end."""
    lines = [b": ".join(each) for each in endpoint.answer_headers(run)]
    head = b"\r\n".join([b"HTTP/1.1 " + status, *lines, *headers, b"", b""])
    await connection._channel.send(head)
    await _send_without_end(connection, b"y" * 4096)


@FAULTS.register("endless_unframed")
async def _endless_unframed(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _endless_reply(endpoint, connection, run, b"200 OK")


@FAULTS.register("endless_failure")
async def _endless_failure(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _endless_reply(endpoint, connection, run, b"500 Internal Server Error")


@FAULTS.register("endless_rejection")
async def _endless_rejection(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    status, header = b"503 Service Unavailable", b"x-agatehoist-not-executed: 1"
    await _endless_reply(endpoint, connection, run, status, header)


@FAULTS.register("endless_misdirection")
async def _endless_misdirection(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await _endless_reply(endpoint, connection, run, b"421 Misdirected Request")


@UNUSUAL_ANSWERS.register("endless_comments")
async def _endless_comments(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    comments = b":\n\n" * 400
    chunk = f"{len(comments):x}".encode() + b"\r\n" + comments + b"\r\n"
    await _send_without_end(connection, chunk)


@UNUSUAL_ANSWERS.register("comment_and_reset")
async def _reset_after_a_comment(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    for event in (b"id: 1\ndata: t1\n\n", b": wait\n\n"):
        await connection.send_data(event)
        await anyio.sleep(EVENT_INTERVAL_S)
    connection.abort()


@UNUSUAL_ANSWERS.register("comments")
async def _send_comments_after_two_events(
    endpoint: EndpointStandIn, connection: ServerConnection, run: ReceivedRequest
) -> None:
    await connection.send_head(200, (*endpoint.answer_headers(run), STREAM, CHUNKED))
    await connection.send_data(b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n")
    try:
        while True:
            await connection.send_data(b": wait\n\n")
            await anyio.sleep(EVENT_INTERVAL_S)
    except ConnectionFailedError:
        connection.abort()
