"""Tests that no request uses KV cache that other weights computed."""

from __future__ import annotations

import json
import random
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio
import structlog
from parameterized import parameterized

from agatehoist.errors import AgatehoistError
from agatehoist.gateway.topics import EndpointsTopic
from agatehoist.http1.types import Reply
from agatehoist.protocol.node_reports import part_key
from agatehoist.storage.objects import Changes, ObjectChange, StoredValue
from agatehoist.storage.revisions import Revision
from agatehoist.weights.types import Plan, SeenPlan
from standins.users_platform.endpoint import EndpointStandIn
from standins.users_platform.harness import (
    ENGINES,
    KV_STORE,
    MODEL,
    GatewayHarness,
    configuration,
    run_standins,
    running_gateway,
    serve_gateway,
    until,
)
from tests.test_gateway.test_run_moves import EVENT_COUNT, drain_while_running

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from agatehoist.fleet.load import TrackedRequest

LONG_PROMPT = {
    "x_agatehoist_token_count": "8130,5",
    "x_agatehoist_prompt_prefix": "pre:2000,aa:6100,bb:30",
}
STREAM_EVENT_COUNT = 30
SCHEDULE_EVENT_COUNT = 40
# Prompt tokens ahead of the next request, which make it go elsewhere.
BACKLOG_TOKENS = 400_000
QUEUE_S = 0.2
ORDER_S = 0.3
DRAIN_S = 0.7
MORE_ENGINES = ("engine-3", "engine-4", "engine-5")
SCHEDULE_S = 3.0
RETRY_SLACK = 10_000.0


def harness_with_kv_store() -> GatewayHarness:
    """Return a harness whose configuration has a KV store."""
    world = GatewayHarness()
    kept = {"Name": "kept", "KvStoreAddr": KV_STORE, "LinkMbps": 100}
    services = [*configuration()["Services"], kept]
    world.store.put("config", "main", configuration(Services=services))
    return world


def list_models(world: GatewayHarness, models: list[dict[str, Any]]) -> None:
    """Let the entries of the engines list these models."""
    for each in world.engines:
        entry = each.entry
        each.entry = lambda port, entry=entry: {**entry(port), "Models": models}


# Case, the models that the entries of the engines list, and whether the version of the
# requested one is among them.
LISTED_MODELS = [
    ("known", [{"Name": MODEL, "Version": 1}], True),
    ("none_listed", [], False),
    ("of_another_model", [{"Name": "other", "Version": 1}], False),
]


class UnknownWeightsTests(unittest.TestCase):
    @parameterized.expand(LISTED_MODELS)
    def test_cache_of_unknown_weights_is_not_shared(
        self, _name: str, models: list[dict[str, Any]], known: bool
    ) -> None:
        world = harness_with_kv_store()
        list_models(world, models)

        async def run() -> None:
            async with running_gateway(world):
                await world.ask_prompt("/trace/1", **LONG_PROMPT)

        anyio.run(run)
        (headers,) = [r.headers_by_name for each in world.engines for r in each.runs]
        self.assertEqual("x-agatehoist-expect-version" in headers, known)
        for name in ("x-agatehoist-kv-fetch", "x-agatehoist-kv-save"):
            self.assertEqual(name in headers, known, name)

    @parameterized.expand(LISTED_MODELS)
    def test_run_on_unknown_weights_does_not_move(
        self, _name: str, models: list[dict[str, Any]], known: bool
    ) -> None:
        world = GatewayHarness()
        list_models(world, models)
        for each in world.engines:
            each.event_count = EVENT_COUNT
            # The reply doesn't state the version either.
            each.model = MODEL if known else ""

        async def run() -> None:
            async with running_gateway(world):
                await drain_while_running(world, "/trace/1")

        anyio.run(run)
        continued = [run for each in world.engines for run in each.continued_runs]
        self.assertEqual(len(continued), int(known))


class MovedRunTests(unittest.TestCase):
    def test_moved_run_claims_no_save_for_newer_weights(self) -> None:
        world = harness_with_kv_store()
        for each in world.engines:
            each.event_count = EVENT_COUNT

        def expect_newer_weights() -> None:
            for endpoint in world.state.fleet.by_name.values():
                world.state.fleet.note_version(endpoint, MODEL, 2)

        async def run() -> bool:
            async with running_gateway(world):
                for each in world.engines:
                    each.on_move = expect_newer_weights
                await drain_while_running(world, "/trace/1", **LONG_PROMPT)
                key = part_key(f"{MODEL}/2/crew", "aa")
                return world.state.placement.saved_parts.is_saved(
                    key, world.state.clock.now()
                )

        self.assertFalse(anyio.run(run))
        continued = [run for each in world.engines for run in each.continued_runs]
        (headers,) = [each.headers_by_name for each in continued]
        self.assertEqual(headers["x-agatehoist-cache-salt"], f"{MODEL}/1/crew")


class UnexpectedWeightsTests(unittest.TestCase):
    # Case, the version that the reply states, whether the endpoint runs the request
    # nevertheless, and whether that is reported.
    @parameterized.expand(
        [("expected", 1, True, 0), ("newer", 2, True, 1), ("refused", 2, False, 0)]
    )
    def test_reply_on_unexpected_weights_leaves_a_line(
        self, _name: str, stated: int, runs: bool, lines: int
    ) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    each.version, each.checks_version = stated, not runs
                await world.ask_prompt("/trace/1")

        with structlog.testing.capture_logs() as logs:
            anyio.run(run)
        events = [each["event"] for each in logs]
        self.assertEqual(events.count("reply made on unexpected weights"), lines)


class Meeting:
    """Play a schedule in which cache may meet other weights, and hold the answers."""

    def __init__(self, case: unittest.TestCase, kv_store: bool = True) -> None:
        self.case = case
        self.world = harness_with_kv_store() if kv_store else GatewayHarness()
        for each in self.world.engines:
            each.event_count = STREAM_EVENT_COUNT
        # The answer to each request, or why there was none.
        self.answers: dict[str, Reply | AgatehoistError] = {}
        self.stack: AsyncExitStack

    async def play(self, schedule: Schedule, **arguments: Any) -> None:
        """Run a gateway, and a schedule beside it."""
        async with AsyncExitStack() as self.stack:
            self.store_port = await self.stack.enter_async_context(
                run_standins(self.world)
            )
            await self.use_another_gateway("n1")
            self.task_group = await self.stack.enter_async_context(
                anyio.create_task_group()
            )
            await schedule(self, **arguments)

    async def use_another_gateway(
        self, node: str, rolls_out_weights: bool = False
    ) -> None:
        """Start a gateway and send it the next requests."""
        gateway = serve_gateway(self.store_port, node, rolls_out_weights)
        world = self.world
        world.state, world.port = await self.stack.enter_async_context(gateway)

    async def ask(
        self, request_id: str, path: str = "/trace/1", **headers: str
    ) -> None:
        """Ask with the long prompt and record the answer."""
        prompt = {**LONG_PROMPT, **headers, "x_agatehoist_request_id": request_id}
        try:
            self.answers[request_id] = await self.world.ask_prompt(path, **prompt)
        except AgatehoistError as error:
            self.answers[request_id] = error

    async def ask_first(self) -> EndpointStandIn:
        """Ask once and return the engine that then has the parts."""
        await self.ask("r1")
        (home,) = (each for each in self.world.engines if each.runs)
        return home

    def others(self, engine: EndpointStandIn) -> list[EndpointStandIn]:
        """Return the other engines."""
        return [each for each in self.world.engines if each is not engine]

    async def ask_until_active(self, request_id: str) -> EndpointStandIn:
        """Begin a request in the background and return the engine that runs it."""
        self.task_group.start_soon(self.ask, request_id)
        await until(lambda: any(each.active for each in self.world.engines))
        (engine,) = (each for each in self.world.engines if each.active)
        return engine

    def make_busy(self, engine: EndpointStandIn) -> TrackedRequest:
        """Let the gateway expect a long wait at an engine."""
        endpoint = self.world.state.fleet.by_name[engine.name]
        return self.world.state.load.track(endpoint.lifetime, BACKLOG_TOKENS)

    def list_entry(self, engine: EndpointStandIn, **fields: Any) -> None:
        """Let the gateway that is used read an entry, with some fields replaced."""
        self.apply_entry(engine.name, {**engine.entry(engine.port), **fields})

    def apply_entry(
        self, name: str, entry: dict[str, Any], removed: bool = False
    ) -> None:
        """Apply an entry as a watch would, at once and at this gateway only."""
        known = self.world.state.fleet.revision
        revision = replace(known, number=known.number + 1)
        change = ObjectChange(StoredValue(name, revision, entry), removed)
        EndpointsTopic().change(self.world.state, Changes((change,), revision))

    def rejections(self) -> set[str]:
        """Return why engines refused requests."""
        return {reason for each in self.world.engines for reason in each.rejections}

    def check_answers(self, event_count: int = STREAM_EVENT_COUNT) -> None:
        """Check that no run used stale cache, and that each answer is whole or true."""
        events = (f"id: {n}\ndata: t{n}\n\n" for n in range(1, event_count + 1))
        whole = "".join(events).encode()
        self.case.assertEqual(self.world.kv_network.stale_uses, [])
        for request_id, answer in self.answers.items():
            self.case.assertNotIsInstance(answer, AgatehoistError, request_id)
            assert isinstance(answer, Reply)
            if answer.head.status == 200:
                self.case.assertEqual(answer.body, whole, request_id)
                continue
            self.case.assertEqual(answer.head.status, 503, request_id)
            self.case.assertNotIn(request_id, self.world.runs())


Schedule = Callable[..., Awaitable[None]]
Effect = Callable[[Meeting, EndpointStandIn], Awaitable[None]]


async def nothing(_meeting: Meeting, _engine: EndpointStandIn) -> None:
    """Leave an engine as it is."""


async def change(_meeting: Meeting, engine: EndpointStandIn) -> None:
    """Change the weights of an engine without an entry that says so."""
    engine.change_weights(engine.version + 1)


async def change_listed(meeting: Meeting, engine: EndpointStandIn) -> None:
    """Change the weights of an engine and let the gateway know."""
    engine.change_weights(engine.version + 1)
    meeting.list_entry(engine)


async def begin_change(meeting: Meeting, engine: EndpointStandIn) -> None:
    """Let an engine carry out an order for as long as a request takes."""
    engine.busy = True

    async def end() -> None:
        await anyio.sleep(ORDER_S)
        engine.change_weights(engine.version + 1)
        engine.busy = False

    meeting.task_group.start_soon(end)


async def restart(_meeting: Meeting, engine: EndpointStandIn) -> None:
    """Restart an engine with the weights it had."""
    engine.restart()


async def restart_listed(meeting: Meeting, engine: EndpointStandIn) -> None:
    """Restart an engine and let the gateway know."""
    engine.restart()
    meeting.list_entry(engine)


async def restart_changed(_meeting: Meeting, engine: EndpointStandIn) -> None:
    """Restart an engine with newer weights."""
    engine.restart(engine.version + 1)


async def restart_changed_listed(meeting: Meeting, engine: EndpointStandIn) -> None:
    """Restart an engine with newer weights and let the gateway know."""
    engine.restart(engine.version + 1)
    meeting.list_entry(engine)


async def end(meeting: Meeting, engine: EndpointStandIn) -> None:
    """End an engine without a successor, and let the gateway know."""
    engine.restart()
    meeting.apply_entry(engine.name, engine.entry(engine.port), removed=True)
    state = meeting.world.state
    serving = state.fleet.serving(ENGINES, state.clock.now())
    meeting.case.assertNotIn(engine.name, [each.name for each in serving])


async def ask_after(meeting: Meeting, effect: Effect, count: int = 1) -> None:
    """Ask again once something has happened to the engine that has the parts."""
    home = await meeting.ask_first()
    for each in [home, *meeting.others(home)][:count]:
        await effect(meeting, each)
    await meeting.ask("r2")


async def ask_while(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to an engine at the moment at which a request arrives."""
    home = await meeting.ask_first()
    arrived: list[str] = []

    async def on_request() -> None:
        arrived.append(home.name)
        if len(arrived) == 1:
            await effect(meeting, home)

    home.on_request = on_request
    await meeting.ask("r2")
    meeting.case.assertTrue(arrived)


async def wait_at_engine(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to an engine in whose queue a request waits."""
    home = await meeting.ask_first()
    arrived = anyio.Event()

    async def on_request() -> None:
        arrived.set()

    home.on_request, home.queue_s = on_request, QUEUE_S
    meeting.task_group.start_soon(meeting.ask, "r2")
    await arrived.wait()
    await effect(meeting, home)


async def wait_in_line(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to an engine for which a request waits in the gateway."""
    routes = [{**each, "TargetLatencyMs": 2000} for each in configuration()["Routes"]]
    services = meeting.world.store.spec("config", "main")["Services"]
    changed = configuration(4, Routes=routes, Services=services)
    meeting.world.store.put("config", "main", changed)
    state = meeting.world.state
    await until(lambda: state.table is not None and state.table.version == 4)
    home = await meeting.ask_first()
    (tracked, *_) = [meeting.make_busy(each) for each in (home, *meeting.others(home))]
    meeting.task_group.start_soon(meeting.ask, "r2")
    await until(lambda: bool(state.in_flight.count))
    await anyio.sleep(0.05)
    meeting.case.assertEqual(meeting.world.runs(), ["r1"])
    await effect(meeting, home)
    # The engine has a new lifetime, without this load, if it has restarted.
    tracked.end()


async def retry(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to the engine at which a broken run is tried next."""
    home = await meeting.ask_first()
    following, last = meeting.others(home)
    meeting.make_busy(last)
    home.faults = ["cut"]
    await effect(meeting, following)
    await meeting.ask("r2")
    meeting.case.assertEqual(home.faults, [])


async def move(
    meeting: Meeting, before: Effect = nothing, after: Effect = nothing
) -> None:
    """Let something happen to the destination of a run before or after the copy."""
    source = await meeting.ask_until_active("r1")
    copied: list[str] = []
    for each in meeting.others(source):

        async def before_copy(engine: EndpointStandIn = each) -> None:
            await before(meeting, engine)

        async def after_copy(engine: EndpointStandIn = each) -> None:
            copied.append(engine.name)
            await after(meeting, engine)

        each.before_copy, each.after_copy = before_copy, after_copy
    meeting.list_entry(source, State="draining")
    await until(lambda: "r1" in meeting.answers)
    # A run that goes on at its source moves again, but not to the same destination.
    meeting.case.assertTrue(copied)
    meeting.case.assertEqual(len(copied), len(set(copied)))


async def move_twice(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to the destination of a run that moves again."""
    source = await meeting.ask_until_active("r1")
    destinations: list[EndpointStandIn] = []
    for each in meeting.others(source):

        async def after_copy(engine: EndpointStandIn = each) -> None:
            destinations.append(engine)
            if len(destinations) == 2:
                await effect(meeting, engine)

        each.after_copy = after_copy
    meeting.list_entry(source, State="draining")
    await until(lambda: bool(destinations and destinations[0].continued_runs))
    meeting.list_entry(destinations[0], State="draining")
    await until(lambda: "r1" in meeting.answers)
    meeting.case.assertGreaterEqual(len(destinations), 2)


async def change_source(meeting: Meeting) -> None:
    """Change the weights of an engine at the moment at which a run leaves it."""
    source = await meeting.ask_until_active("r1")
    source.on_move = lambda: source.change_weights(2)
    meeting.list_entry(source, State="draining")
    await until(lambda: "r1" in meeting.answers)


async def save_after(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to the engines before the first prompt is saved."""
    for each in meeting.world.engines:
        await effect(meeting, each)
    await meeting.ask("r1")
    meeting.case.assertEqual(meeting.world.kv_store.version_by_part, {})


async def fetch(
    meeting: Meeting,
    holder: Effect = nothing,
    readers: Effect = nothing,
    from_holder: bool = False,
) -> None:
    """Ask where the parts must be fetched from the engine that read them."""
    home = await meeting.ask_first()
    meeting.make_busy(home)
    await holder(meeting, home)
    for each in meeting.others(home):
        await readers(meeting, each)
    await meeting.ask("r2")
    (run,) = (
        run
        for each in meeting.world.engines
        for run in each.runs[-1:]
        if run.request_id == "r2"
    )
    fetched_from = run.headers_by_name.get("x-agatehoist-kv-fetch")
    meeting.case.assertEqual(fetched_from == home.address, from_holder)


async def use_unlisted_weights(meeting: Meeting) -> None:
    """Change weights of which neither the entries nor the replies tell."""
    for each in meeting.world.engines:
        meeting.list_entry(each, Models=[])
        each.model = ""
    home = await meeting.ask_first()
    meeting.make_busy(home)
    for each in meeting.others(home):
        each.change_weights(2)
    await meeting.ask("r2")
    meeting.case.assertEqual(meeting.world.runs(), ["r1", "r2"])


async def list_late(meeting: Meeting, version: int, count: int) -> None:
    """Ask while entries state a version that engines have no more, or not yet."""
    home = await meeting.ask_first()
    for each in [home, *meeting.others(home)][:count]:
        if version == 1:
            await change_listed(meeting, each)
        meeting.list_entry(each, Models=[{"Name": MODEL, "Version": version}])
    await meeting.ask("r2")


async def plan_ahead(meeting: Meeting) -> None:
    """Ask once a plan lists an engine as changed that hasn't changed."""
    home = await meeting.ask_first()
    state = meeting.world.state
    lifetime = state.fleet.by_name[home.name].lifetime
    plan = Plan(MODEL, "n2", 1, 2, 1, changed=(lifetime,))
    state.record_plan(SeenPlan(plan, Revision(0, 1), state.clock.now()))
    await meeting.ask("r2")


async def list_earlier_lifetime(meeting: Meeting) -> None:
    """Ask once the entry of an ended lifetime has come after that of the next."""
    home = await meeting.ask_first()
    entry = home.entry(home.port)
    await restart_changed_listed(meeting, home)
    meeting.apply_entry(home.name, entry)
    await meeting.ask("r2")


async def ask_gateway_behind(meeting: Meeting, busy: bool) -> None:
    """Ask a gateway that hasn't learned of weights that another one uses."""
    home = await meeting.ask_first()
    behind = meeting.world.state, meeting.world.port
    home.change_weights(2)
    await meeting.use_another_gateway("n2")
    endpoint = meeting.world.state.fleet.by_name[home.name]
    meeting.world.state.fleet.note_version(endpoint, MODEL, 2)
    await meeting.ask("r2")
    meeting.world.state, meeting.world.port = behind
    if busy:
        meeting.make_busy(home)
    await meeting.ask("r3")
    await meeting.ask("r4")


async def interrupt(meeting: Meeting, effect: Effect) -> None:
    """Let something happen to an engine in the middle of a run."""
    engine = await meeting.ask_until_active("r1")
    await effect(meeting, engine)
    await until(lambda: "r1" in meeting.answers)
    meeting.case.assertEqual(meeting.world.runs(), ["r1", "r1"])


OTHER, CHANGING, NO_COPY = {"other weights"}, {"weights change"}, {"no copy"}
SALT: set[str] = set()
# Case, the schedule with its arguments, and why engines refuse; with an empty set the
# cache name or the emptied memory keeps the versions apart.
WAYS: list[tuple[str, Schedule, dict[str, Any], set[str]]] = [
    ("dispatch_to_changed", ask_after, {"effect": change}, OTHER),
    ("dispatch_to_listed", ask_after, {"effect": change_listed}, SALT),
    ("dispatch_to_all_changed", ask_after, {"effect": change, "count": 3}, OTHER),
    ("dispatch_to_changing", ask_after, {"effect": begin_change}, CHANGING),
    ("change_on_arrival", ask_while, {"effect": change}, OTHER),
    ("order_on_arrival", ask_while, {"effect": begin_change}, CHANGING),
    ("change_in_queue", wait_at_engine, {"effect": change}, CHANGING),
    ("order_in_queue", wait_at_engine, {"effect": begin_change}, CHANGING),
    ("change_in_line", wait_in_line, {"effect": change}, OTHER),
    ("listed_in_line", wait_in_line, {"effect": change_listed}, SALT),
    ("restart_in_line", wait_in_line, {"effect": restart_changed}, OTHER),
    ("retry_at_changed", retry, {"effect": change}, OTHER),
    ("retry_at_listed", retry, {"effect": change_listed}, SALT),
    ("retry_at_changing", retry, {"effect": begin_change}, CHANGING),
    ("retry_at_restarted", retry, {"effect": restart_changed}, OTHER),
    ("move_change_before_copy", move, {"before": change}, OTHER),
    ("move_listed_before_copy", move, {"before": change_listed}, OTHER),
    ("move_change_after_copy", move, {"after": change}, OTHER),
    ("move_listed_after_copy", move, {"after": change_listed}, OTHER),
    ("move_order_after_copy", move, {"after": begin_change}, CHANGING),
    ("move_destination_ends", move, {"after": end}, SALT),
    ("move_restart_before_copy", move, {"before": restart}, SALT),
    ("move_restart_after_copy", move, {"after": restart}, NO_COPY),
    ("move_restart_listed", move, {"after": restart_listed}, NO_COPY),
    ("move_restart_changed_before", move, {"before": restart_changed}, OTHER),
    (
        "move_restart_changed_listed_before",
        move,
        {"before": restart_changed_listed},
        OTHER,
    ),
    ("move_restart_changed", move, {"after": restart_changed}, OTHER),
    ("move_restart_changed_listed", move, {"after": restart_changed_listed}, OTHER),
    ("move_source_changes", change_source, {}, SALT),
    ("second_move_listed", move_twice, {"effect": change_listed}, OTHER),
    ("second_move_restarted", move_twice, {"effect": restart_listed}, NO_COPY),
    ("fetch_holder_changed", fetch, {"holder": change, "from_holder": True}, SALT),
    ("fetch_holder_listed", fetch, {"holder": change_listed}, SALT),
    (
        "fetch_holder_restarted",
        fetch,
        {"holder": restart_changed, "from_holder": True},
        SALT,
    ),
    ("fetch_reader_changed", fetch, {"readers": change}, OTHER),
    ("fetch_reader_listed", fetch, {"readers": change_listed}, SALT),
    ("save_changed", save_after, {"effect": change}, OTHER),
    ("save_changing", save_after, {"effect": begin_change}, CHANGING),
    ("unlisted_weights", use_unlisted_weights, {}, SALT),
    ("entry_older", list_late, {"version": 1, "count": 1}, OTHER),
    ("entry_newer", list_late, {"version": 2, "count": 1}, OTHER),
    ("entries_newer", list_late, {"version": 2, "count": 3}, OTHER),
    ("plan_ahead", plan_ahead, {}, OTHER),
    ("entry_of_ended_lifetime", list_earlier_lifetime, {}, OTHER),
    ("gateway_behind", ask_gateway_behind, {"busy": False}, OTHER),
    ("gateway_behind_fetches", ask_gateway_behind, {"busy": True}, SALT),
    ("restart", ask_after, {"effect": restart}, SALT),
    ("restart_listed", ask_after, {"effect": restart_listed}, SALT),
    ("restart_changed", ask_after, {"effect": restart_changed}, OTHER),
    ("restart_changed_listed", ask_after, {"effect": restart_changed_listed}, SALT),
    ("restart_of_all", ask_after, {"effect": restart_changed_listed, "count": 3}, SALT),
    ("change_in_run", interrupt, {"effect": change}, SALT),
    ("restart_in_run", interrupt, {"effect": restart_changed}, SALT),
]


# Schedules in which parts come from an engine if there is no KV store.
FROM_ENGINES = (fetch, use_unlisted_weights, ask_gateway_behind)


class StaleUseTests(unittest.TestCase):
    # A KV store keeps parts when weights change; without one, engines have them.
    @parameterized.expand(
        [
            (f"{name}_{place}", place == "store", *row)
            for name, *row in WAYS
            for place in ("store", "engines")
            if place == "store" or row[0] in FROM_ENGINES
        ]
    )
    def test_no_run_uses_cache_of_other_weights(
        self,
        _name: str,
        kv_store: bool,
        schedule: Schedule,
        arguments: dict[str, Any],
        rejections: set[str],
    ) -> None:
        meeting = Meeting(self, kv_store)
        anyio.run(lambda: meeting.play(schedule, **arguments))
        meeting.check_answers()
        self.assertEqual(meeting.rejections(), rejections)


class StandInTests(unittest.TestCase):
    # Case, the header with which a request on version 2 reads what another engine made
    # under version 1, and the sources of the cache that it then uses.
    @parameterized.expand(
        [
            ("engine", "x-agatehoist-kv-fetch", "{engine}", ["part"]),
            ("kv_store", "x-agatehoist-kv-fetch", KV_STORE, ["part"]),
            ("copy", "kv-from", "{engine}/copy-of-r1", ["copy"]),
            ("nothing", "x-agatehoist-kv-save", KV_STORE, []),
        ]
    )
    def test_standin_records_use_of_cache_of_other_weights(
        self, _name: str, header: str, value: str, sources: list[str]
    ) -> None:
        world = GatewayHarness()
        first, second, *_ = world.engines
        first.event_count = EVENT_COUNT

        async def run() -> None:
            async with run_standins(world), anyio.create_task_group() as task_group:
                world.port = first.port
                task_group.start_soon(self._ask_until_moved, world)
                await until(lambda: bool(first.active))
                move = {"Id": "r1", "To": second.address, "Last": True}
                body = json.dumps(move).encode()
                await world.ask("/agatehoist/kv-move", "POST", body)
                second.change_weights(2)
                world.port = second.port
                headers = {header.replace("-", "_"): value.format(engine=first.address)}
                await world.ask_prompt("/trace/1", **headers)

        anyio.run(run)
        uses = world.kv_network.stale_uses
        self.assertEqual([each.source for each in uses], sources)
        self.assertTrue(all((u.made_under, u.used_on) == (1, 2) for u in uses))

    async def _ask_until_moved(self, world: GatewayHarness) -> None:
        with self.assertRaises(AgatehoistError):
            await world.ask_prompt("/trace/1", x_agatehoist_kv_save=KV_STORE)


class RandomSchedule:
    """Mix requests at two gateways with orders, restarts and drains."""

    def __init__(self, meeting: Meeting, seed: int) -> None:
        self._meeting = meeting
        self._seed = seed
        self._ends_at = 0.0
        # The engine whose entry doesn't follow it at the moment.
        self._disturbed = ""

    async def play(self, _meeting: Meeting) -> None:
        """Play for SCHEDULE_S, and wait for the answers."""
        self._ends_at = anyio.current_time() + SCHEDULE_S
        world = self._meeting.world
        gateways = [(world.state, world.port)]
        await self._meeting.use_another_gateway("n2", rolls_out_weights=True)
        gateways.append((world.state, world.port))
        for state, _ in gateways:
            retries = replace(state.settings.retries, slack=RETRY_SLACK)
            state.apply_settings(replace(state.settings, retries=retries))
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._set_targets)
            task_group.start_soon(self._disturb)
            task_group.start_soon(self._report)
            number = 0
            rng = self._rng("ask")
            async for _ in self._pauses(rng, 0.02, 0.06):
                number += 1
                _, port = rng.choice(gateways)
                task_group.start_soon(self._ask, number, port)

    async def _ask(self, number: int, port: int) -> None:
        self._meeting.world.port = port
        shared = f"{number % 3:x}a:6100"
        prefix = f"pre:2000,{shared},{number:x}f:30"
        await self._meeting.ask(f"r{number}", x_agatehoist_prompt_prefix=prefix)

    async def _set_targets(self) -> None:
        version = 1
        async for _ in self._pauses(self._rng("targets"), 0.6, 1.0):
            version += 1
            target = {"Model": MODEL, "Version": version}
            self._meeting.world.store.put("versions", MODEL, target)

    async def _disturb(self) -> None:
        """Restart one engine at a time; entries come late, some after a drain."""
        world = self._meeting.world
        rng = self._rng("disturb")
        async for _ in self._pauses(rng, 0.3, 0.6):
            engine = rng.choice(world.engines)
            self._disturbed = engine.name
            if rng.random() < 0.5:
                world.list_endpoint(engine, State="draining")
                await anyio.sleep(DRAIN_S)
            engine.restart()
            await anyio.sleep(rng.uniform(0.0, 0.2))
            self._disturbed = ""

    async def _report(self) -> None:
        """Write the entries that have changed, as engines do now and then."""
        world = self._meeting.world
        async for _ in self._pauses(self._rng("report"), 0.05, 0.3):
            for each in world.engines:
                listed = world.store.spec("servers", each.name)
                if each.name != self._disturbed and listed != each.entry(each.port):
                    world.list_endpoint(each)

    def _rng(self, task: str) -> random.Random:
        # Each task draws from its own, so that their timing doesn't change the draws.
        return random.Random(f"{self._seed}/{task}")

    async def _pauses(
        self, rng: random.Random, least_s: float, most_s: float
    ) -> AsyncIterator[None]:
        while anyio.current_time() < self._ends_at:
            await anyio.sleep(rng.uniform(least_s, most_s))
            yield


class RandomScheduleTests(unittest.TestCase):
    @parameterized.expand([(1,), (2,), (3,), (4,), (5,)])
    def test_mixed_changes_and_restarts_leave_no_stale_use(self, seed: int) -> None:
        meeting = Meeting(self)
        routes = [
            {**each, "TimeoutMs": 8000, "MaxAttempts": 4}
            for each in configuration()["Routes"]
        ]
        services = meeting.world.store.spec("config", "main")["Services"]
        changed = configuration(Routes=routes, Services=services)
        meeting.world.store.put("config", "main", changed)
        engines = meeting.world.engines
        engines += [EndpointStandIn(name, ENGINES, MODEL) for name in MORE_ENGINES]
        for each in engines:
            each.event_count = SCHEDULE_EVENT_COUNT
        anyio.run(meeting.play, RandomSchedule(meeting, seed).play)
        meeting.check_answers(SCHEDULE_EVENT_COUNT)
        self.assertGreater(max(each.version for each in engines), 1)
