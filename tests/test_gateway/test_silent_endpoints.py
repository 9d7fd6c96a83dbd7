"""Tests of sound endpoints that fall silent for a second and then go on."""

from __future__ import annotations

import time
import unittest
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import anyio
import anyio.lowlevel
from parameterized import parameterized
from structlog.testing import capture_logs

from agatehoist.fleet.statements import Notice
from agatehoist.gateway.endpoint_permits import acquire_permit
from agatehoist.gateway.offer_search import OfferSearch
from agatehoist.gateway.request_traits import RequestTraits
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.http1.types import Reply
from agatehoist.protocol.node_reports import endpoint_key
from agatehoist.quarantine.types import Quarantine
from standins.users_platform.endpoint import FLOOD_EVENTS
from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from agatehoist.fleet.view import EndpointsView
    from agatehoist.placement.types import Offer
    from standins.users_platform.endpoint import EndpointStandIn

COMPLETE_STREAM = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 6))
# A silence lasts longer than the gateway waits before it looks for another endpoint.
TIMEOUTS_MS = {"look": 2000, "post": 2000, "trace": 2600, "credit": 2600}
CALLS, STREAMS = ("/look/1", "/post/1"), ("/trace/1", "/credit/1")
BEFORE_HEAD, BEFORE_BODY = "silent_before_head", "silent_before_body"
BETWEEN_EVENTS = "silent_between_events"
# The silences of a request, each with the paths on which it may occur.
PATHS_BY_SILENCE = {
    BEFORE_HEAD: CALLS + STREAMS,
    BEFORE_BODY: CALLS + STREAMS,
    BETWEEN_EVENTS: STREAMS,
}
# What other endpoints the gateway could turn to.
SURROUNDINGS = (
    "others_sound",
    "others_silent",
    "no_others",
    "no_retry_left",
    "others_at_their_limits",
)
LONG_ROUTES = [
    {**each, "TimeoutMs": TIMEOUTS_MS[each["Name"]]}
    for each in configuration()["Routes"]
]
# Configurations that come into force during a silence.
CHANGES: dict[str, dict[str, Any]] = {
    "shorter_times": {
        "Routes": [{**each, "TimeoutMs": 300} for each in configuration()["Routes"]]
    },
    "no_routes": {"Routes": []},
    "no_services": {"Routes": [], "Services": []},
    "no_organisations": {"Tenants": []},
}
CHANGE_AFTER_S = 0.3
LEFT_WITHIN_S = 0.5
MAX_OVERLAP_S = 0.4
SUSPECTED_WITHIN_S = 6.0
CALLER_PAUSE_S = 1.8
SUSPENDED_S = 2.5
# Passes of the event loop in which an endpoint begins to wait; it needs one.
PASSES_TO_WAIT = 5
# Nothing listens there.
CLOSED_PORT = 9


@dataclass(frozen=True, slots=True)
class Outcome:
    """Describe what a caller got, and what the gateway then thinks of the endpoints."""

    reply: Reply | None
    took_s: float
    suspected: tuple[str, ...]
    unhealthy: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Result:
    """Hold what a caller got, and the harness for a look at the runs."""

    world: GatewayHarness
    outcome: Outcome


def run_together(
    run: Callable[[str], Awaitable[Result]], names: Iterable[str]
) -> dict[str, Result]:
    """Run a function for each name at the same time and return the results by name."""
    results: dict[str, Result] = {}

    async def run_one(name: str) -> None:
        results[name] = await run(name)

    async def run_all() -> None:
        async with anyio.create_task_group() as task_group:
            for name in names:
                task_group.start_soon(run_one, name)

    anyio.run(run_all)
    return results


async def change_soon(world: GatewayHarness, change: str) -> None:
    """Write another configuration to the store while a request waits."""
    await anyio.sleep(CHANGE_AFTER_S)
    document = configuration(version=4, **CHANGES[change])
    world.store.put("config", "main", document)


def silent_world(path: str, silence: str, surroundings: str) -> GatewayHarness:
    """Return a harness whose first run of a request, or all runs, fall silent."""
    world = GatewayHarness()
    world.store.put("config", "main", configuration(Routes=LONG_ROUTES))
    if surroundings == "no_others":
        del world.engines[1:], world.applications[1:]
    # The runs take the faults from one list, whichever endpoint is chosen.
    shared = [silence] * (9 if surroundings == "others_silent" else 1)
    for each in world.endpoints():
        each.faults = shared
    if surroundings == "others_at_their_limits":
        for each in asked_endpoints(world, path)[1:]:
            each.limit_per_s = 0.1
    return world


def is_closed(fleet: EndpointsView, name: str) -> bool:
    """Return whether the gateway knows the closed port of an endpoint."""
    return fleet.by_name[name].port == CLOSED_PORT


def asked_endpoints(world: GatewayHarness, path: str) -> list[EndpointStandIn]:
    """Return the endpoints that serve a path."""
    return world.applications if path in CALLS else world.engines


async def prepare(world: GatewayHarness, path: str, surroundings: str) -> None:
    """Use up the retries or the permits of a running gateway."""
    state = world.state
    endpoints = [
        state.fleet.by_name[each.name] for each in asked_endpoints(world, path)
    ]
    if surroundings == "no_retry_left":
        while state.retry_budget(endpoints[0].service).try_spend():
            pass
    if surroundings == "others_at_their_limits":
        for each in endpoints[1:]:
            now = state.clock.now()
            notice = Notice(endpoint_key(each.lifetime), 0.1, False, now)
            state.statements.accept(notice, now)
            # The permit is had in advance, so the next one takes seconds.
            while not await acquire_permit(state, each, 0):  # noqa: ASYNC110
                await anyio.sleep(0.01)


async def ask(world: GatewayHarness, path: str, **headers: str) -> Outcome:
    """Send a request and return its outcome."""
    began_at = time.monotonic()
    reply = None
    try:
        if path in STREAMS:
            reply = await world.ask_prompt(path, **headers)
        else:
            method = "POST" if path.startswith("/post/") else "GET"
            reply = await world.ask(path, method, **headers)
    except ConnectionFailedError:
        pass
    took_s = time.monotonic() - began_at
    state, now = world.state, world.state.clock.now()
    endpoints = tuple(state.fleet.by_name.values())
    return Outcome(
        reply,
        took_s,
        tuple(e.name for e in endpoints if state.suspects.is_suspected(e.name, now)),
        tuple(e.name for e in endpoints if state.health.is_unhealthy(e.lifetime, now)),
    )


class SilenceTests(unittest.TestCase):
    def assert_whole(self, path: str, result: Result) -> None:
        outcome = result.outcome
        assert outcome.reply is not None, "the connection ended without a reply"
        self.assertEqual(outcome.reply.head.status, 200)
        if path in STREAMS:
            self.assertEqual(outcome.reply.body, COMPLETE_STREAM)
        else:
            self.assertRegex(outcome.reply.body, rb"^r1 by application-.$")
        self.assertLess(outcome.took_s, TIMEOUTS_MS[path.split("/")[1]] / 1000)
        self.assertEqual((outcome.suspected, outcome.unhealthy), ((), ()))
        if path in ("/post/1", "/credit/1"):
            self.assertEqual(result.world.runs(), ["r1"])

    # All cases of a test run at the same time, as each waits for a silence.
    @parameterized.expand(
        [
            (f"{silence}_on_{path.split('/')[1]}", path, silence)
            for silence, paths in PATHS_BY_SILENCE.items()
            for path in paths
        ]
    )
    def test_silence_ends_no_answer(self, _name: str, path: str, silence: str) -> None:
        async def ask_in(surroundings: str) -> Result:
            world = silent_world(path, silence, surroundings)
            async with running_gateway(world):
                await prepare(world, path, surroundings)
                return Result(world, await ask(world, path))

        for surroundings, result in run_together(ask_in, SURROUNDINGS).items():
            with self.subTest(surroundings):
                self.assert_whole(path, result)
                if surroundings in ("no_retry_left", "others_at_their_limits"):
                    self.assertEqual(result.world.runs(), ["r1"])

    @parameterized.expand(
        [
            ("call", "/look/1", BEFORE_HEAD),
            ("call_once", "/post/1", BEFORE_HEAD),
            ("stream", "/trace/1", BETWEEN_EVENTS),
            ("stream_once_before_events", "/credit/1", BEFORE_BODY),
            ("stream_once", "/credit/1", BETWEEN_EVENTS),
        ]
    )
    def test_change_of_the_configuration_during_silence_ends_no_answer(
        self, _name: str, path: str, silence: str
    ) -> None:
        async def ask_beside(change: str) -> Result:
            world = silent_world(path, silence, "no_others")
            async with running_gateway(world), anyio.create_task_group() as task_group:
                task_group.start_soon(change_soon, world, change)
                outcome = await ask(world, path)
                table = world.state.table
                assert table is not None
                self.assertEqual(table.version, 4)
                return Result(world, outcome)

        for change, result in run_together(ask_beside, CHANGES).items():
            with self.subTest(change):
                self.assert_whole(path, result)

    def test_call_with_less_time_than_the_silence_is_answered_elsewhere(self) -> None:
        world = silent_world("/look/1", BEFORE_HEAD, "others_sound")

        async def run() -> Outcome:
            async with running_gateway(world):
                return await ask(world, "/look/1", x_agatehoist_deadline_ms="1000")

        self.assert_whole("/look/1", Result(world, anyio.run(run)))

    @parameterized.expand([(each,) for each in CALLS + STREAMS])
    def test_silent_endpoint_is_left_at_the_deadline(self, path: str) -> None:
        world = silent_world(path, "mute", "no_others")

        async def run() -> Outcome:
            async with running_gateway(world):
                outcome = await ask(world, path, x_agatehoist_deadline_ms="700")
                with anyio.fail_after(LEFT_WITHIN_S):
                    await until(lambda: not any(e.active for e in world.endpoints()))
                return outcome

        outcome = anyio.run(run)
        assert outcome.reply is not None
        self.assertEqual(outcome.reply.head.status, 504)

    # Endpoints that send nothing more, until the caller would give up.
    @parameterized.expand([("call", "/look/1"), ("stream", "/trace/1")])
    def test_dead_endpoint_is_left_in_time(self, _name: str, path: str) -> None:
        world = silent_world(path, "mute", "others_sound")

        async def run() -> Outcome:
            async with running_gateway(world):
                return await ask(world, path)

        outcome = anyio.run(run)
        assert outcome.reply is not None
        self.assertEqual(outcome.reply.head.status, 200)
        self.assertLess(outcome.took_s, 2.0)
        self.assertEqual(len(world.runs()), 2)

    @parameterized.expand([(BEFORE_HEAD,), (BEFORE_BODY,), (BETWEEN_EVENTS,)])
    def test_replaced_stream_does_not_go_on_beside_its_replacement(
        self, silence: str
    ) -> None:
        world = silent_world("/trace/1", silence, "others_silent")
        overlap_s = [0.0]

        async def measure() -> None:
            while True:
                began_at = time.monotonic()
                await anyio.sleep(0.01)
                if sum(each.active for each in world.endpoints()) > 1:
                    overlap_s[0] += time.monotonic() - began_at

        async def run() -> Outcome:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                task_group.start_soon(measure)
                outcome = await ask(world, "/trace/1")
                task_group.cancel_scope.cancel()
                return outcome

        self.assert_whole("/trace/1", Result(world, anyio.run(run)))
        self.assertEqual(len(world.runs()), 2)
        self.assertLess(overlap_s[0], MAX_OVERLAP_S)

    @parameterized.expand(
        [
            ("call", "/look/1", BEFORE_HEAD),
            ("stream_before_head", "/trace/1", BEFORE_HEAD),
            ("stream_between_events", "/trace/1", BETWEEN_EVENTS),
        ]
    )
    def test_silent_endpoint_is_kept_if_no_replacement_can_be_reached(
        self, _name: str, path: str, silence: str
    ) -> None:
        world = silent_world(path, silence, "others_sound")
        others = asked_endpoints(world, path)[1:]

        async def run() -> Outcome:
            async with running_gateway(world):
                for each in others:
                    world.list_endpoint(each, Address=f"{HOST}:{CLOSED_PORT}")
                fleet = world.state.fleet
                await until(lambda: all(is_closed(fleet, e.name) for e in others))
                outcome = await ask(world, path)
                return replace(outcome, suspected=())

        self.assert_whole(path, Result(world, anyio.run(run)))
        self.assertEqual(world.runs(), ["r1"])

    # A quarantine that is imposed meanwhile withdraws no answer that has begun.
    def test_begun_stream_goes_on_if_its_replacement_is_quarantined(self) -> None:
        world = silent_world("/trace/1", BETWEEN_EVENTS, "others_sound")
        find = OfferSearch.find_replacement

        async def find_late(search: OfferSearch, has_begun: bool) -> tuple[Offer, ...]:
            offers = await find(search, has_begun)
            quarantine, now = world.state.quarantine, world.state.clock.now()
            traits = frozenset((RequestTraits(search._request).fingerprint,))
            quarantine.accept(Quarantine(traits, now, now + 10.0, 1), now)
            world.state.active_requests.withdraw_quarantined()
            return offers

        async def run() -> Outcome:
            async with running_gateway(world):
                return await ask(world, "/trace/1")

        with patch.object(OfferSearch, "find_replacement", find_late):
            outcome = anyio.run(run)
        self.assert_whole("/trace/1", Result(world, outcome))
        self.assertEqual(world.runs(), ["r1"])

    # Case, the path, the surroundings, and what the steps of the request say.
    @parameterized.expand(
        [
            (
                "replaced",
                "/trace/1",
                "others_sound",
                ["silent, trying another", "sent to", "withdrawn from"],
            ),
            (
                "no_others",
                "/trace/1",
                "no_others",
                ["silent, waiting: no other endpoint"],
            ),
            (
                "no_retry",
                "/look/1",
                "no_retry_left",
                ["silent, waiting: no retry left"],
            ),
            ("once", "/post/1", "others_sound", ["silent, waiting: may not run again"]),
        ]
    )
    def test_steps_say_what_was_done_about_a_silence(
        self, _name: str, path: str, surroundings: str, expected: list[str]
    ) -> None:
        world = silent_world(path, BEFORE_HEAD, surroundings)

        async def run() -> None:
            async with running_gateway(world):
                await prepare(world, path, surroundings)
                await ask(world, path)

        with capture_logs() as lines:
            anyio.run(run)
        (ended,) = (each for each in lines if each["event"] == "request ended")
        steps = [each for each in ended["steps"] if "first event" not in each]
        self.assertEqual(len(steps), 1 + len(expected))
        for step, text in zip(steps[1:], expected, strict=True):
            self.assertIn(text, step)

    # A dead endpoint is told from a silent one by calls that each wait only briefly.
    def test_dead_endpoint_of_short_calls_is_suspected(self) -> None:
        world = silent_world("/look/1", "mute", "others_sound")
        dead = world.applications[0]
        dead.faults, world.applications[1].faults = ["mute"] * 99, []

        async def run() -> bool:
            async with running_gateway(world):
                state = world.state
                with anyio.move_on_after(SUSPECTED_WITHIN_S):
                    while not state.suspects.is_suspected(dead.name, state.clock.now()):
                        await ask(world, "/look/1", x_agatehoist_deadline_ms="1000")
                        await anyio.sleep(0.1)
                    return True
                return False

        self.assertTrue(anyio.run(run))

    def test_slow_caller_is_not_taken_for_a_silent_endpoint(self) -> None:
        world = silent_world("/trace/1", "flood", "others_sound")

        world.caller_pause_s = CALLER_PAUSE_S
        routes = [{**each, "TimeoutMs": 9000} for each in LONG_ROUTES]
        world.store.put("config", "main", configuration(Routes=routes))

        async def run() -> Outcome:
            async with running_gateway(world):
                return await ask(world, "/trace/1")

        outcome = anyio.run(run)
        assert outcome.reply is not None, "the connection ended without a reply"
        self.assertIn(b"id: %d\n" % FLOOD_EVENTS, outcome.reply.body)
        self.assertEqual(world.runs(), ["r1"])

    def test_engine_that_reads_a_long_prompt_is_not_taken_for_silent(self) -> None:
        world = silent_world("/trace/1", BEFORE_HEAD, "others_sound")
        # It takes two seconds to read.
        prompt = {
            "x_agatehoist_token_count": "80000,5",
            "x_agatehoist_prompt_prefix": "aa:79900,bb:100",
        }

        async def run() -> Outcome:
            async with running_gateway(world):
                return await ask(world, "/trace/1", **prompt)

        self.assert_whole("/trace/1", Result(world, anyio.run(run)))
        self.assertEqual(world.runs(), ["r1"])

    # Case, the path, the time that the caller allows, and the status.
    @parameterized.expand(
        [
            ("call", "/look/1", 9000, 200),
            ("call_once", "/post/1", 9000, 200),
            ("stream", "/trace/1", 9000, 200),
            ("stream_once", "/credit/1", 9000, 200),
            ("late_call", "/look/1", 1000, 504),
            ("late_stream", "/trace/1", 1000, 504),
        ]
    )
    def test_endpoint_is_not_taken_for_silent_by_a_process_that_was_suspended(
        self, _name: str, path: str, allowed_ms: int, status: int
    ) -> None:
        world = GatewayHarness()
        routes = [{**each, "TimeoutMs": 9000} for each in LONG_ROUTES]
        world.store.put("config", "main", configuration(Routes=routes))
        for each in world.endpoints():
            each.queue_s = 0.5

        async def run() -> Outcome:
            async with running_gateway(world), anyio.create_task_group() as task_group:

                async def suspend() -> None:
                    await until(
                        lambda: any(each.arrivals for each in world.endpoints())
                    )
                    # The endpoint begins its wait a pass after the arrival. If it began
                    # it after the suspension, a late request would be withdrawn in it.
                    for _ in range(PASSES_TO_WAIT):
                        await anyio.lowlevel.checkpoint()
                    # All processes of the harness stand still.
                    time.sleep(SUSPENDED_S)  # noqa: ASYNC251

                task_group.start_soon(suspend)
                allowed = {"x_agatehoist_deadline_ms": str(allowed_ms)}
                return await ask(world, path, **allowed)

        with capture_logs() as lines:
            outcome = anyio.run(run)
        assert outcome.reply is not None
        self.assertEqual(outcome.reply.head.status, status)
        self.assertEqual([each for each in lines if "suspected" in each["event"]], [])
        (ended,) = (each for each in lines if each["event"] == "request ended")
        self.assertNotIn("silent", "".join(ended["steps"]))
        self.assertEqual(world.runs(), ["r1"])
