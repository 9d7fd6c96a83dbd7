"""Tests of the room at endpoints, and of what is learned for it from answers."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized
from structlog.testing import capture_logs

from agatehoist.fleet.capacity import DEFAULT_PREFILL_TOKENS_PER_S
from agatehoist.gateway.endpoint_rates import (
    logged_rates,
    rates_to_report,
    receive_rates,
)
from agatehoist.gateway.engine_measurement import EngineMeasurement
from agatehoist.gateway.room import room_at
from agatehoist.gateway.types import Dispatch
from agatehoist.protocol.endpoint_rates import (
    EndpointSamples,
    RatesReport,
    RunSizes,
    Samples,
    encode_rates,
)
from agatehoist.protocol.node_reports import endpoint_key
from agatehoist.routing.types import (
    Envelope,
    Prompt,
    PromptPart,
    RoutedRequest,
)
from standins.users_platform.harness import (
    ENGINES,
    MODEL,
    GatewayHarness,
    configuration,
    running_gateway,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState

PROMPT = Prompt(MODEL, (PromptPart("aa", 6300), PromptPart("bb", 2890)), 9190, 13)
STRIDE, SLOTS, MEMORY_TOKENS = 4, 8, 90_000
SILENCE_MS = 1000
BACKLOG_TOKENS = 400_000
# Rejections after which an endpoint counts as unhealthy if they show a fault.
REJECTIONS = 6


def world_with(engine_count: int = 1, **figures: Any) -> GatewayHarness:
    """Return a harness whose configuration states these figures of the engines."""
    world = GatewayHarness(engine_count)
    services = configuration()["Services"]
    services[0]["Engine"] |= figures
    world.store.put("config", "main", configuration(Services=services))
    return world


def measured_world(engine_count: int = 1) -> GatewayHarness:
    """Return a harness whose engines have rates that are measured."""
    return world_with(engine_count, Stride=STRIDE)


def routed(state: GatewayState) -> RoutedRequest:
    """Return a request for a long prompt."""
    assert state.table is not None
    (route,) = (
        each for each in state.table.routes_by_host["a.example"] if each.name == "trace"
    )
    envelope = Envelope(
        "r1", b"POST", b"/", "", "/", (), (), b"", 0.0, None, PROMPT, None
    )
    return RoutedRequest(envelope, route, ENGINES, None, 1e12, 3)


def in_gateway(world: GatewayHarness, check: Callable[..., Any]) -> Any:
    """Run a check with the state of a gateway and its first engine."""

    async def run() -> Any:
        async with running_gateway(world):
            endpoint = world.state.fleet.serving(ENGINES, 0.0)[0]
            return check(world.state, endpoint)

    return anyio.run(run)


class RoomTests(unittest.TestCase):
    # Without both figures, the wait is that by which endpoints were chosen before.
    @parameterized.expand(
        [
            ("no_figures", {"KvCapacity": 0}),
            ("memory_alone", {}),
            ("stride_alone", {"KvCapacity": 0, "Stride": STRIDE}),
        ]
    )
    def test_nothing_changes_without_stated_figures(
        self, _name: str, figures: dict[str, int]
    ) -> None:
        def check(state: GatewayState, endpoint: Endpoint) -> None:
            state.load.track(endpoint.lifetime, 4000)
            now = state.clock.now()
            room = room_at(state, routed(state), endpoint, now)
            self.assertEqual(room.wait_s, state.load.wait_s(endpoint.lifetime, now))
            self.assertEqual((room.pause_s, room.short_tokens), (0.0, 0))
            self.assertIsNone(rates_to_report(state))

        in_gateway(world_with(**figures), check)

    def test_own_requests_count_at_once(self) -> None:
        """The next request would go to the same endpoint until peers report again."""

        def check(state: GatewayState, endpoint: Endpoint) -> None:
            request, now = routed(state), state.clock.now()
            before = room_at(state, request, endpoint, now)
            tracked = state.load.track(endpoint.lifetime, 4000, RunSizes(85_000, 0))
            during = room_at(state, request, endpoint, now)
            tracked.end()
            self.assertEqual((before.wait_s, before.pause_s), (0.0, 0.0))
            self.assertGreater(during.wait_s, 4000 / DEFAULT_PREFILL_TOKENS_PER_S)
            self.assertGreater(during.pause_s, 0.0)
            self.assertEqual(during.short_tokens, 85_000 + 9203 - MEMORY_TOKENS)
            self.assertEqual(room_at(state, request, endpoint, now), before)

        in_gateway(measured_world(), check)

    def test_rates_that_a_peer_tells_change_the_room(self) -> None:
        def check(state: GatewayState, endpoint: Endpoint) -> None:
            request, now = routed(state), state.clock.now()
            before = room_at(state, request, endpoint, now)
            samples = EndpointSamples(Samples(6.0, 3.0), Samples(6.0, 3.0))
            key = endpoint_key(endpoint.lifetime)
            report = RatesReport("n2", RunSizes(), {key: samples})
            receive_rates(state, encode_rates(report), 0.0)
            later = room_at(state, request, endpoint, now + 0.2)
            self.assertAlmostEqual(later.read_s / before.read_s, 2.0, delta=0.1)

        in_gateway(measured_world(), check)


class LearningTests(unittest.TestCase):
    def test_slow_engine_is_learned_from_first_events(self) -> None:
        def check(state: GatewayState, endpoint: Endpoint) -> None:
            now = state.clock.now()
            dispatch = Dispatch(endpoint, missing_tokens=9190)
            assumed_s = 9190 / DEFAULT_PREFILL_TOKENS_PER_S
            for _ in range(6):
                measurement = EngineMeasurement(state, routed(state), dispatch, now)
                measurement.note_first_event(now + 2 * assumed_s)
                measurement.tracked.end()
            slowness = state.load.capacity.slowness(endpoint.lifetime, now + 1)
            self.assertTrue(1.5 < slowness < 2.0)
            report = rates_to_report(state)
            assert report is not None
            self.assertIn(endpoint_key(endpoint.lifetime), report.samples_by_key)
            (logged,) = logged_rates(state, now + 1).values()
            self.assertAlmostEqual(logged["tokens_per_s"], 40_000 / slowness, delta=1)

        in_gateway(measured_world(), check)

    # Case, prompt tokens that are read during a gap, and whether its steps count.
    @parameterized.expand([("decoding", 0, True), ("prefilling", 5000, False)])
    def test_steps_are_learned_from_gaps_without_prefill(
        self, _name: str, tokens: int, is_learned: bool
    ) -> None:
        def check(state: GatewayState, endpoint: Endpoint) -> None:
            now = state.clock.now()
            dispatch = Dispatch(endpoint)
            measurement = EngineMeasurement(state, routed(state), dispatch, now)
            measurement.note_events(1, now)
            state.load.track(endpoint.lifetime, tokens)
            for number in range(1, 20):
                measurement.note_events(1, now + number * STRIDE * 0.012)
            step_s = state.load.capacity.rates(endpoint.lifetime, now + 1).step_s
            self.assertEqual(step_s > 0.009, is_learned)

        in_gateway(measured_world(), check)

    # Case, prompt tokens ahead, whether the endpoint sends data to other requests, and
    # whether a wait of five seconds shows no fault.
    @parameterized.expand(
        [
            ("full", BACKLOG_TOKENS, True, True),
            ("idle", 0, True, False),
            ("full_and_silent", BACKLOG_TOKENS, False, False),
        ]
    )
    def test_wait_at_a_full_endpoint_is_no_failure(
        self, _name: str, tokens: int, sends: bool, is_explained: bool
    ) -> None:
        def check(state: GatewayState, endpoint: Endpoint) -> None:
            now = state.clock.now()
            state.load.track(endpoint.lifetime, tokens)
            dispatch = Dispatch(endpoint, missing_tokens=600)
            measurement = EngineMeasurement(state, routed(state), dispatch, now)
            if sends:
                state.record_contact(endpoint)
            self.assertEqual(measurement.is_wait_explained(now + 5), is_explained)

        in_gateway(measured_world(), check)

    # A full engine rejects requests; one that rejects them while idle has a fault.
    @parameterized.expand([("full", SLOTS, False), ("idle", 0, True)])
    def test_rejections_of_a_full_endpoint_say_nothing_of_its_health(
        self, _name: str, runs: int, is_unhealthy: bool
    ) -> None:
        world = measured_world()
        world.engines[0].faults = ["shed"] * REJECTIONS

        async def run() -> bool:
            async with running_gateway(world):
                state = world.state
                (endpoint,) = state.fleet.serving(ENGINES, 0.0)
                for _ in range(runs):
                    state.load.track(endpoint.lifetime, 0)
                for _ in range(REJECTIONS):
                    await world.ask_prompt("/credit/1")
                now = state.clock.now()
                return state.health.is_unhealthy(endpoint.lifetime, now)

        self.assertEqual(anyio.run(run), is_unhealthy)


class GapLogTests(unittest.TestCase):
    def test_log_tells_a_late_engine_from_a_late_gateway(self) -> None:
        """Nothing told whether an event was late when it arrived or when it left."""
        world = measured_world()
        world.engines[0].faults = ["silent_between_events"]

        async def run() -> None:
            async with running_gateway(world):
                await world.ask_prompt("/credit/1", x_agatehoist_deadline_ms="4000")

        with capture_logs() as lines:
            anyio.run(run)
        (ended,) = (each for each in lines if each["event"] == "request ended")
        self.assertGreater(ended["gap_ms"], SILENCE_MS)
        self.assertGreater(ended["passed_gap_ms"], SILENCE_MS)
        self.assertEqual(ended["gap_endpoint"], world.engines[0].name)
        self.assertEqual((ended["gap_runs"], ended["gap_unread_tokens"]), (1, 0))
