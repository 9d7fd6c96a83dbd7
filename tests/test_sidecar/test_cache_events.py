"""Tests of the cache index of a sidecar whose engine has cache faults."""

from __future__ import annotations

import itertools
import json
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized

from agatehoist.core.clock import SystemClock
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import CompletionWork, Priority
from agatehoist.endpoints.engine import EngineClient
from agatehoist.endpoints.errors import EndpointRejectedError
from agatehoist.observability.http import http_server
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.protocol.messages import (
    Assignment,
    CompletionEnd,
    Refused,
    SubmitCompletion,
)
from agatehoist.settings.types import (
    Address,
    EndpointSettings,
    NodeSettings,
    PlatformSettings,
    SidecarSettings,
)
from agatehoist.sidecar.attempt_runner import run_completion
from agatehoist.sidecar.cache_events import follow_cache
from agatehoist.sidecar.execution import Execution
from agatehoist.sidecar.state import SidecarState
from standins.engine.app import make_app
from standins.engine.blocks import BLOCK_TOKENS, block_hashes, tokenize
from standins.engine.events import CacheFaults
from standins.engine.model import Engine, Speed
from standins.engine.orders import OrderHandler, WeightLoader
from standins.fleet import free_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from agatehoist.core.identity import EndpointIdentity
    from agatehoist.core.work import PrefixLevel

MODEL = "songs-8b"
BLOCKS = 600
BOOK_TOKENS = 2000
WAIT_S = 20

FAULTS = [
    ("exact", CacheFaults()),
    ("late", CacheFaults(event_delay=0.3)),
    ("half_lost", CacheFaults(event_loss=0.5)),
    ("late_and_half_lost", CacheFaults(event_delay=0.3, event_loss=0.5)),
]


class EngineWithSidecar:
    """Run prompts on an engine through the state and the runner of its sidecar."""

    def __init__(self, engine: Engine, state: SidecarState) -> None:
        self.engine = engine
        self.state = state
        self._numbers = itertools.count(1)

    async def run(
        self,
        text: str,
        organisation: str = "archive",
        identity: EndpointIdentity | None = None,
    ) -> CompletionEnd | Refused:
        """Run one completion and return its final message."""
        identity = identity or self.state.identity
        assignment = Assignment(
            AttemptId("router", next(self._numbers)),
            organisation,
            identity,
            Priority.LONG,
            self.state.clock.now() + 60,
        )
        body = json.dumps({"model": MODEL, "prompt": text, "max_tokens": 1})
        work = CompletionWork("/v1/completions", body.encode(), len(text) // 4, 1)
        levels = levels_of(text, organisation, identity.weights_version)
        execution = Execution(assignment.deadline)
        submit = SubmitCompletion(assignment, levels, work)
        await run_completion(self.state, submit, execution)
        assert execution.ending is not None
        return execution.ending

    def block_hashes(self, text: str) -> list[str]:
        """Return the engine's block hashes of a prompt of the organisation archive."""
        return block_hashes(tokenize(text), salt_for("archive", MODEL, "1").hex())

    def held_tokens(self, text: str) -> int:
        """Return the number of leading tokens that the engine has cached."""
        hashes = self.block_hashes(text)
        held = itertools.takewhile(self.engine.cache.holds, hashes)
        return BLOCK_TOKENS * len(tuple(held))

    def restart_empty(self) -> None:
        """Restart the engine with an empty cache under the same address."""
        self.engine.incarnation += "-again"
        self.engine.cache.clear()
        self.engine.feed.sequence = 0


def levels_of(
    text: str, organisation: str = "archive", weights_version: str = "1"
) -> tuple[PrefixLevel, ...]:
    return find_levels((text,), salt_for(organisation, MODEL, weights_version))


def book_text(number: int) -> str:
    return f"book{number:04d}" * (BOOK_TOKENS // 2)


@asynccontextmanager
async def engine_with_sidecar(faults: CacheFaults) -> AsyncIterator[EngineWithSidecar]:
    """Serve an engine and follow its cache events while the context lasts."""
    address = Address("127.0.0.1", free_ports(1)[0])
    engine = Engine(MODEL, BLOCKS, Speed(1e9, 1e9), faults=faults)
    app = make_app(engine, OrderHandler(engine, False, WeightLoader("").load))
    settings = SidecarSettings(
        NodeSettings("host", "dc1", "coast"),
        Address("127.0.0.1", 1),
        Address("127.0.0.1", 2),
        PlatformSettings("http://127.0.0.1:1"),
        EndpointSettings("engine", f"http://{address}", MODEL),
    )
    client = EngineClient(settings.endpoint.url)
    async with http_server(app, address):
        async with anyio.create_task_group() as task_group:
            state = SidecarState(settings, client, SystemClock(), task_group)
            await state.refresh_status()
            task_group.start_soon(follow_cache, state)
            yield EngineWithSidecar(engine, state)
            task_group.cancel_scope.cancel()
        await client.aclose()


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


def run_in_event_loop(test: Callable[..., Any]) -> Callable[..., None]:
    def run(self: unittest.TestCase, *arguments: Any) -> None:
        anyio.run(test, self, *arguments)

    run.__name__ = test.__name__
    return run


class CacheEventsTests(unittest.TestCase):
    @parameterized.expand(FAULTS)
    @run_in_event_loop
    async def test_index_agrees_with_the_engine_after_lost_events(
        self, _name: str, faults: CacheFaults
    ):
        async with engine_with_sidecar(faults) as node:
            cache_index = node.state.cache_index
            for number in range(12):
                await node.run(book_text(number))
            # The 600 blocks hold four whole books of 125 blocks and part of a fifth.
            await wait_until(
                lambda: cache_index.matched_tokens(levels_of(book_text(0))) == 0
            )
            # No later event reveals the loss of the last one, so request a listing.
            cache_index.request_resync()
            node.state.wake_cache_resync()
            await wait_until(lambda: not cache_index.resync_needed)
            matched = [
                cache_index.matched_tokens(levels_of(book_text(number)))
                for number in range(12)
            ]
            held = [node.held_tokens(book_text(number)) for number in range(12)]
            self.assertEqual(matched[8:], [2000] * 4)
            self.assertEqual(matched[:7], [0] * 7)
            self.assertTrue(all(a <= b for a, b in zip(matched, held, strict=True)))

    @run_in_event_loop
    async def test_restarted_engine_has_no_cached_blocks(self):
        async with engine_with_sidecar(CacheFaults()) as node:
            await node.run(book_text(1))
            old_identity = node.state.identity
            cache_index = node.state.cache_index
            self.assertGreater(cache_index.matched_tokens(levels_of(book_text(1))), 0)
            node.restart_empty()
            stale_end = await node.run(book_text(2), identity=old_identity)
            self.assertIsInstance(stale_end, Refused)
            await wait_until(lambda: node.state.identity != old_identity)
            self.assertEqual(cache_index.matched_tokens(levels_of(book_text(1))), 0)
            end = await node.run(book_text(1))
            self.assertEqual(end.cached_tokens, 0)

    @parameterized.expand([("older_weights", "archive"), ("foreign", "cooperative")])
    @run_in_event_loop
    async def test_kept_blocks_under_another_salt_are_not_hit(
        self, name: str, organisation: str
    ):
        async with engine_with_sidecar(CacheFaults(keep_blocks=True)) as node:
            await node.run(book_text(1))
            second_end = await node.run(book_text(1))
            self.assertGreater(second_end.cached_tokens, 1900)
            old_identity = node.state.identity
            if name == "older_weights":
                node.engine.clear_cache()
                node.engine.weights_version = "2"
                stale_end = await node.run(book_text(1), identity=old_identity)
                self.assertIsInstance(stale_end, Refused)
                await node.state.refresh_status()
            self.assertGreater(len(node.engine.cache.blocks()), 100)
            weights_version = node.state.identity.weights_version
            levels = levels_of(book_text(1), organisation, weights_version)
            self.assertEqual(node.state.cache_index.matched_tokens(levels), 0)
            end = await node.run(book_text(1), organisation)
            self.assertEqual(end.cached_tokens, 0)

    @parameterized.expand(
        [
            ("same_weights", "1", "archive", True),
            ("older_weights", "2", "archive", False),
            ("foreign", "1", "cooperative", False),
        ]
    )
    @run_in_event_loop
    async def test_imported_blocks_are_hit_only_with_the_same_salt(
        self, _name: str, weights_version: str, organisation: str, hit: bool
    ):
        async with (
            engine_with_sidecar(CacheFaults()) as source,
            engine_with_sidecar(CacheFaults()) as target,
        ):
            target.engine.weights_version = weights_version
            await target.state.refresh_status()
            await source.run(book_text(1))
            blocks = source.block_hashes(book_text(1))
            export = await source.state.client.cache.export((*blocks, "unknown"))
            self.assertEqual(export.blocks, tuple(blocks))
            if weights_version != "1":
                with self.assertRaises(EndpointRejectedError):
                    await target.state.client.cache.import_blocks(export)
            else:
                await target.state.client.cache.import_blocks(export)
            end = await target.run(book_text(1), organisation)
            self.assertEqual(end.cached_tokens > 1900, hit)

    @run_in_event_loop
    async def test_engine_reports_its_load_late(self):
        async with engine_with_sidecar(CacheFaults(load_lag=60.0)) as node:
            node.engine.reported_load.record(7)
            self.assertEqual(node.engine.reported_load.report(), 0)
