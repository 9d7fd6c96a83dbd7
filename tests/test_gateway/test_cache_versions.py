"""Tests that no request uses KV cache that other weights computed."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
import structlog
from parameterized import parameterized

from agatehoist.protocol.node_reports import part_key
from standins.users_platform.harness import (
    MODEL,
    GatewayHarness,
    configuration,
    running_gateway,
)
from tests.test_gateway.test_run_moves import EVENT_COUNT, drain_while_running

KV_STORE = "127.0.0.1:9"
LONG_PROMPT = {
    "x_agatehoist_token_count": "8130,5",
    "x_agatehoist_prompt_prefix": "pre:2000,aa:6100,bb:30",
}


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
                return world.state.saved_parts.is_saved(key, world.state.clock.now())

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
