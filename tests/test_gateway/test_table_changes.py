"""Tests of requests at whose every moment the configuration may change."""

from __future__ import annotations

import unittest
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import anyio
import anyio.lowlevel
from parameterized import parameterized
from structlog.testing import capture_logs

from agatehoist.core.registry import Registry
from agatehoist.fleet.statements import Notice
from agatehoist.gateway import offer_search
from agatehoist.gateway.ingress import HttpReplyWriter
from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import ConnectionFailedError, InvalidReplyError
from agatehoist.http1.types import Reply, RequestHead
from agatehoist.protocol.node_reports import endpoint_key
from standins.users_platform.harness import (
    API_KEY,
    APPLICATION,
    ENGINES,
    KV_STORE,
    MODEL,
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from standins.users_platform.loopback import HOST, MAX_BODY_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.http1.channel import Channel

    Change = Callable[[], Awaitable[None]]

CALLS = ("/look/1", "/post/1")
BODY = b"{}" * 500
EVENT_COUNT = 15
COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENT_COUNT + 1)
)
ENGINE = {
    "Slots": 8,
    "KvCapacity": 90_000,
    "Moves": True,
    "Models": [{"Name": MODEL}],
}
SERVICES = [
    {"Name": ENGINES, "Engine": ENGINE},
    {"Name": APPLICATION},
    {"Name": "kept", "KvStoreAddr": KV_STORE, "LinkMbps": 100},
]
ROUTES = [
    {**each, "TimeoutMs": 3000, "TargetLatencyMs": 2000, "TargetGapMs": 2000}
    for each in configuration()["Routes"]
]
TENANT = configuration()["Tenants"][0]
NO_LIMITS_LEFT = {
    "MaxHeaderBytes": 16,
    "MaxBodyBytes": 1,
    "HeaderTimeoutMs": 1,
    "IdleTimeoutMs": 1,
}
VERSION_AFTER = 4
SILENCE_S = 0.02
COPY_S = 0.15
HEAD_BYTES_BEFORE = 30
LIMIT_PER_S = 50.0
UNREAD_TOKENS = 10_000_000

# What the configuration says after the change, in place of what it said before.
TABLE_CHANGES: dict[str, dict[str, Any]] = {
    "services_gone": {"Services": []},
    "model_gone": {"Services": [{"Name": ENGINES, "Engine": {"Models": []}}]},
    "engines_gone": {"Services": [{"Name": ENGINES}, {"Name": APPLICATION}]},
    "kv_store_gone": {"Services": SERVICES[:2]},
    "routes_gone": {"Routes": []},
    "routes_elsewhere": {"Routes": [{**each, "Service": "other"} for each in ROUTES]},
    "split_empty": {"Routes": [{**each, "TrafficSplit": []} for each in ROUTES]},
    "kind_changed": {
        "Routes": [
            {**each, "Kind": "non_idempotent", "Resumable": False} for each in ROUTES
        ]
    },
    "stream_for_all": {
        "Routes": [{**each, "Kind": "stream", "Resumable": True} for each in ROUTES]
    },
    "timeout_short": {"Routes": [{**each, "TimeoutMs": 1} for each in ROUTES]},
    "objective_short": {
        "Routes": [
            {**each, "TargetLatencyMs": 1, "TargetGapMs": 1, "MaxAttempts": 1}
            for each in ROUTES
        ]
    },
    "organisations_gone": {"Tenants": []},
    "key_gone": {"Tenants": [{**TENANT, "ApiKeys": ["another-key"]}]},
    "limits_small": {"Limits": NO_LIMITS_LEFT},
}
CHANGES: Registry[Callable[[GatewayHarness], Awaitable[None]]] = Registry("change")
MOMENTS: Registry[Callable[[GatewayHarness, Change], Awaitable[list[Outcome]]]] = (
    Registry("moment")
)
# An endpoint works on the request: it is served, whatever changes.
MOMENTS_OF_RUNS = frozenset(
    {"at_endpoint", "streaming", "moving", "reply_starts", "reply_ends"}
)
# The request keeps its route: it is served if its endpoints stay.
MOMENTS_AFTER_ROUTING = frozenset(
    {
        "in_line",
        "before_permit",
        "before_retry",
        "before_retry_of_a_call",
        "before_resumption",
    }
)
# The endpoint has broken off the stream, and no other endpoint is left to continue it.
BROKEN_OFF_BY_ENDPOINTS = frozenset(
    {("before_resumption", "entries_gone"), ("before_resumption", "entries_invalid")}
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what a caller got for a request: a reply, if any, and bytes after it."""

    reply: Reply | None
    bytes_after: bytes = b""

    @property
    def is_served(self) -> bool:
        """Return whether the whole answer of an endpoint has arrived."""
        if self.reply is None or self.reply.head.status != HTTPStatus.OK:
            return False
        return self.reply.body == COMPLETE_STREAM or b" by app" in self.reply.body


class Caller:
    """Send requests on one connection and read all that comes back."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._connection = ClientConnection(channel)

    async def ask(
        self, path: str, pause_at: int = 0, pause: Change = anyio.lowlevel.checkpoint
    ) -> Outcome:
        """Send a request, with a pause before the byte `pause_at`, and read on."""
        request = self._connection._encode_request(_head(path), BODY)
        reply = None
        with suppress(ConnectionFailedError, InvalidReplyError):
            await self._channel.send(request[:pause_at])
            await pause()
            await self._channel.send(request[pause_at:])
            head = await self._connection.read_head()
            reply = Reply(head, await self._connection.read_body(MAX_BODY_BYTES))
        outcome = Outcome(reply, await self._bytes_after())
        self._connection.prepare_next_request()
        return outcome

    async def _bytes_after(self) -> bytes:
        with anyio.move_on_after(SILENCE_S), suppress(ConnectionFailedError):
            return await self._channel.receive()
        return b""


def _head(path: str) -> RequestHead:
    headers = {
        "host": "a.example",
        "api-key": API_KEY,
        "x-agatehoist-request-id": "r1",
        "content-length": str(len(BODY)),
    }
    if path not in CALLS:
        headers |= {
            "x-agatehoist-model-name": MODEL,
            "x-agatehoist-token-count": "2000,5",
            "x-agatehoist-prompt-prefix": "aa:1500,bb:500",
        }
    encoded = tuple((name.encode(), value.encode()) for name, value in headers.items())
    return RequestHead(b"POST", path.encode(), encoded)


async def ask(
    world: GatewayHarness,
    path: str,
    pause_at: int = 0,
    pause: Change = anyio.lowlevel.checkpoint,
) -> Outcome:
    """Send one request on a connection of its own."""
    channel = await connect(HOST, world.port)
    try:
        return await Caller(channel).ask(path, pause_at, pause)
    finally:
        channel.close()


async def ask_and_change(
    world: GatewayHarness, path: str, is_time: Callable[[], bool], change: Change
) -> list[Outcome]:
    """Send a request, and change the configuration when it is time."""
    outcomes: list[Outcome] = []

    async def keep_outcome() -> None:
        outcomes.append(await ask(world, path))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(keep_outcome)
        await until(is_time)
        await change()
    return outcomes


def on_first_arrival(world: GatewayHarness, change: Change) -> None:
    """Change the configuration while the first endpoint that is asked waits."""
    for each in world.endpoints():
        each.on_request = change


@MOMENTS.register("head_arrives")
async def during_head(world: GatewayHarness, change: Change) -> list[Outcome]:
    return [await ask(world, "/look/1", HEAD_BYTES_BEFORE, change)]


@MOMENTS.register("body_arrives")
async def during_body(world: GatewayHarness, change: Change) -> list[Outcome]:
    return [await ask(world, "/post/1", -len(BODY) // 2, change)]


@MOMENTS.register("between_requests")
async def between_requests(world: GatewayHarness, change: Change) -> list[Outcome]:
    channel = await connect(HOST, world.port)
    try:
        caller = Caller(channel)
        first = await caller.ask("/look/1")
        await change()
        return [first, await caller.ask("/look/1")]
    finally:
        channel.close()


@MOMENTS.register("in_line")
async def in_line(world: GatewayHarness, change: Change) -> list[Outcome]:
    load, lines = world.state.load, world.state.lines
    engines = world.state.fleet.serving(ENGINES, world.state.clock.now())
    # A short prompt waits for other short ones only.
    busy = [load.track(each.lifetime, UNREAD_TOKENS, is_short=True) for each in engines]

    async def change_and_make_room() -> None:
        await change()
        for each in busy:
            each.end()

    return await ask_and_change(
        world, "/trace/1", lambda: bool(lines._tickets_by_id), change_and_make_room
    )


@MOMENTS.register("before_permit")
async def before_permit(world: GatewayHarness, change: Change) -> list[Outcome]:
    state, acquire = world.state, offer_search.acquire_permit
    now = state.clock.now()
    for each in state.fleet.serving(ENGINES, now):
        limit = Notice(endpoint_key(each.lifetime), LIMIT_PER_S, False, now)
        state.statements.accept(limit, now)

    async def change_and_acquire(*arguments: Any) -> bool:
        await change()
        return await acquire(*arguments)

    with patch.object(offer_search, "acquire_permit", change_and_acquire):
        return [await ask(world, "/trace/1")]


@MOMENTS.register("before_retry")
async def before_retry(world: GatewayHarness, change: Change) -> list[Outcome]:
    shared = ["reset"]
    for each in world.endpoints():
        each.faults = shared
    on_first_arrival(world, change)
    return [await ask(world, "/trace/1")]


@MOMENTS.register("before_retry_of_a_call")
async def before_retry_of_call(world: GatewayHarness, change: Change) -> list[Outcome]:
    shared = ["fail"]
    for each in world.endpoints():
        each.faults = shared
    on_first_arrival(world, change)
    return [await ask(world, "/look/1")]


@MOMENTS.register("before_resumption")
async def before_resumption(world: GatewayHarness, change: Change) -> list[Outcome]:
    shared = ["cut"]
    for each in world.engines:
        each.faults = shared
    on_first_arrival(world, change)
    return [await ask(world, "/trace/1")]


@MOMENTS.register("moving")
async def moving(world: GatewayHarness, change: Change) -> list[Outcome]:
    for each in world.engines:
        # The gateway waits for a move for a limited time.
        each.before_copy = partial(anyio.sleep, COPY_S)

    async def leave_and_change() -> None:
        (source,) = (each for each in world.engines if each.active)
        state, now = world.state, world.state.clock.now()
        key = endpoint_key(state.fleet.by_name[source.name].lifetime)
        state.statements.accept(Notice(key, None, True, now), now)
        await until(lambda: bool(source.stopped))
        await change()

    return await ask_and_change(
        world,
        "/credit/1",
        lambda: any(each.active for each in world.engines),
        leave_and_change,
    )


@MOMENTS.register("at_endpoint")
async def at_endpoint(world: GatewayHarness, change: Change) -> list[Outcome]:
    on_first_arrival(world, change)
    return [await ask(world, "/credit/1")]


@MOMENTS.register("streaming")
async def streaming(world: GatewayHarness, change: Change) -> list[Outcome]:
    return await change_before(world, change, "send", "/credit/1")


@MOMENTS.register("reply_starts")
async def as_reply_starts(world: GatewayHarness, change: Change) -> list[Outcome]:
    return await change_before(world, change, "start", "/credit/1")


@MOMENTS.register("reply_ends")
async def as_reply_ends(world: GatewayHarness, change: Change) -> list[Outcome]:
    return await change_before(world, change, "reply", "/post/1")


async def change_before(
    world: GatewayHarness, change: Change, step: str, path: str
) -> list[Outcome]:
    """Change the configuration before a step of the writing of a reply."""
    write = getattr(HttpReplyWriter, step)

    async def change_and_write(*arguments: Any) -> None:
        await change()
        await write(*arguments)

    with patch.object(HttpReplyWriter, step, change_and_write):
        return [await ask(world, path)]


def register_table_changes() -> None:
    for name, fields in TABLE_CHANGES.items():
        CHANGES.register(name)(partial(change_table, fields))


async def change_table(fields: dict[str, Any], world: GatewayHarness) -> None:
    after = {"Routes": ROUTES, "Services": SERVICES, **fields}
    world.store.put("config", "main", configuration(VERSION_AFTER, **after))
    await until(
        lambda: (
            world.state.table is not None and world.state.table.version == VERSION_AFTER
        )
    )


register_table_changes()


@CHANGES.register("entries_gone")
async def remove_entries(world: GatewayHarness) -> None:
    for each in world.endpoints():
        world.store.remove("servers", each.name)
    await until(lambda: not serving(world))


@CHANGES.register("entries_leave")
async def drain_entries(world: GatewayHarness) -> None:
    for each in world.endpoints():
        world.list_endpoint(each, State="draining")
    await until(lambda: not serving(world))


@CHANGES.register("entries_invalid")
async def invalidate_entries(world: GatewayHarness) -> None:
    for each in world.endpoints():
        world.list_endpoint(each, Address="nowhere")
    await until(lambda: not serving(world))


@CHANGES.register("entries_of_another_service")
async def give_entries_away(world: GatewayHarness) -> None:
    for each in world.endpoints():
        world.list_endpoint(each, Service="other")
    await until(lambda: not serving(world))


@CHANGES.register("entries_of_another_lifetime")
async def replace_entries(world: GatewayHarness) -> None:
    before = serving(world)
    for each in world.endpoints():
        world.list_endpoint(each, born=each.started_ms + 1)
    await until(lambda: not before & serving(world))


def serving(world: GatewayHarness) -> set[str]:
    """Return the lifetimes of the endpoints that get requests."""
    now = world.state.clock.now()
    return {
        each.lifetime
        for service in (ENGINES, APPLICATION)
        for each in world.state.fleet.serving(service, now)
    }


class TableChangeTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{moment}_{change}", moment, change)
            for moment in MOMENTS
            for change in CHANGES
        ]
    )
    def test_request_read_whole_gets_one_reply(
        self, _name: str, moment: str, change: str
    ) -> None:
        world = GatewayHarness()
        before = configuration(Routes=ROUTES, Services=SERVICES)
        world.store.put("config", "main", before)
        for each in world.engines:
            each.event_count = EVENT_COUNT
        has_changed = anyio.Event()
        begun: list[str] = []

        async def change_once() -> None:
            if not begun:
                begun.append(change)
                await CHANGES[change](world)
                has_changed.set()

        async def run() -> list[Outcome]:
            async with running_gateway(world):
                outcomes = await MOMENTS[moment](world, change_once)
                await has_changed.wait()
                return outcomes

        with capture_logs() as logs:
            outcomes = anyio.run(run)
        for each in outcomes:
            self.assertEqual(each.bytes_after, b"")
            if (moment, change) in BROKEN_OFF_BY_ENDPOINTS:
                self.assertIsNone(each.reply)
                continue
            assert each.reply is not None
            if moment in MOMENTS_OF_RUNS or (
                moment in MOMENTS_AFTER_ROUTING and change in TABLE_CHANGES
            ):
                self.assertTrue(each.is_served, each.reply)
        events = {each["event"] for each in logs}
        self.assertTrue(events.isdisjoint({"request failed", "connection failed"}))
