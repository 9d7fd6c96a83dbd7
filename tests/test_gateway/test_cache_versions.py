"""Tests that no request uses KV cache that other weights computed."""

from __future__ import annotations

import json
import unittest
from typing import Any

import anyio
import structlog
from parameterized import parameterized

from agatehoist.errors import AgatehoistError
from standins.users_platform.harness import (
    KV_STORE,
    MODEL,
    GatewayHarness,
    configuration,
    run_standins,
    running_gateway,
    until,
)
from tests.test_gateway.test_run_moves import EVENT_COUNT, drain_while_running

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


class UnexpectedWeightsTests(unittest.TestCase):
    # Case, the version that the reply states, and whether it is reported.
    @parameterized.expand([("expected", 1, 0), ("newer", 2, 1)])
    def test_reply_on_unexpected_weights_leaves_a_line(
        self, _name: str, stated: int, lines: int
    ) -> None:
        world = GatewayHarness()

        async def run() -> None:
            async with running_gateway(world):
                for each in world.engines:
                    # The endpoint doesn't check the version that the request expects.
                    each.version, each.checks_version = stated, False
                await world.ask_prompt("/trace/1")

        with structlog.testing.capture_logs() as logs:
            anyio.run(run)
        events = [each["event"] for each in logs]
        self.assertEqual(events.count("reply made on unexpected weights"), lines)


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
