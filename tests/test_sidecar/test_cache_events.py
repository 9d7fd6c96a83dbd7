"""Tests of what a sidecar believes of the cache of a faulty engine."""

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
from agatehoist.sidecar.cache_events import follow_cache
from agatehoist.sidecar.execution import Execution
from agatehoist.sidecar.running import run_completion
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


class Pair:
    """Run prompts on an engine through the parts of its sidecar."""

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
        """Return the end of one completion."""
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
        """Return the engine's hashes of a prompt of the archive."""
        return block_hashes(tokenize(text), salt_for("archive", MODEL, "1").hex())

    def held_tokens(self, text: str) -> int:
        """Return the leading tokens that the engine has cached."""
        hashes = self.block_hashes(text)
        held = itertools.takewhile(self.engine.cache.holds, hashes)
        return BLOCK_TOKENS * len(tuple(held))

    def crash_and_return(self) -> None:
        """Bring the engine back empty under the same address."""
        self.engine.incarnation += "-again"
        self.engine.cache.clear()
        self.engine.feed.sequence = 0


def levels_of(
    text: str, organisation: str = "archive", weights_version: str = "1"
) -> tuple[PrefixLevel, ...]:
    return find_levels((text,), salt_for(organisation, MODEL, weights_version))


def book(number: int) -> str:
    return f"book{number:04d}" * (BOOK_TOKENS // 2)


@asynccontextmanager
async def run_pair(faults: CacheFaults) -> AsyncIterator[Pair]:
    """Serve an engine and follow it until the context ends."""
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
            yield Pair(engine, state)
            task_group.cancel_scope.cancel()
        await client.aclose()


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(WAIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


def in_loop(test: Callable[..., Any]) -> Callable[..., None]:
    def run(self: unittest.TestCase, *arguments: Any) -> None:
        anyio.run(test, self, *arguments)

    run.__name__ = test.__name__
    return run


class CacheEventsTests(unittest.TestCase):
    @parameterized.expand(FAULTS)
    @in_loop
    async def test_picture_comes_to_agree(self, _name: str, faults: CacheFaults):
        async with run_pair(faults) as pair:
            picture = pair.state.picture
            for number in range(12):
                await pair.run(book(number))
            # 600 blocks hold four books of 125 blocks whole and part of another.
            await until(lambda: picture.matched_tokens(levels_of(book(0))) == 0)
            # Nothing shows that the very last event was lost.
            picture.request_resync()
            pair.state.check_cache()
            await until(lambda: not picture.resync_needed)
            believed = [
                picture.matched_tokens(levels_of(book(number))) for number in range(12)
            ]
            held = [pair.held_tokens(book(number)) for number in range(12)]
            self.assertEqual(believed[8:], [2000] * 4)
            self.assertEqual(believed[:7], [0] * 7)
            self.assertTrue(all(a <= b for a, b in zip(believed, held, strict=True)))

    @in_loop
    async def test_engine_that_returns_empty(self):
        async with run_pair(CacheFaults()) as pair:
            await pair.run(book(1))
            placed_for = pair.state.identity
            picture = pair.state.picture
            self.assertGreater(picture.matched_tokens(levels_of(book(1))), 0)
            pair.crash_and_return()
            late = await pair.run(book(2), identity=placed_for)
            self.assertIsInstance(late, Refused)
            await until(lambda: pair.state.identity != placed_for)
            self.assertEqual(picture.matched_tokens(levels_of(book(1))), 0)
            end = await pair.run(book(1))
            self.assertEqual(end.cached_tokens, 0)

    @parameterized.expand([("older_weights", "archive"), ("foreign", "cooperative")])
    @in_loop
    async def test_engine_that_keeps_blocks(self, name: str, organisation: str):
        async with run_pair(CacheFaults(keep_blocks=True)) as pair:
            await pair.run(book(1))
            again = await pair.run(book(1))
            self.assertGreater(again.cached_tokens, 1900)
            placed_for = pair.state.identity
            if name == "older_weights":
                pair.engine.clear_cache()
                pair.engine.weights_version = "2"
                late = await pair.run(book(1), identity=placed_for)
                self.assertIsInstance(late, Refused)
                await pair.state.refresh_status()
            self.assertGreater(len(pair.engine.cache.blocks()), 100)
            weights_version = pair.state.identity.weights_version
            levels = levels_of(book(1), organisation, weights_version)
            self.assertEqual(pair.state.picture.matched_tokens(levels), 0)
            end = await pair.run(book(1), organisation)
            self.assertEqual(end.cached_tokens, 0)

    @parameterized.expand(
        [
            ("same_weights", "1", "archive", True),
            ("older_weights", "2", "archive", False),
            ("foreign", "1", "cooperative", False),
        ]
    )
    @in_loop
    async def test_imported_blocks(
        self, _name: str, weights_version: str, organisation: str, hit: bool
    ):
        async with run_pair(CacheFaults()) as source, run_pair(CacheFaults()) as target:
            target.engine.weights_version = weights_version
            await target.state.refresh_status()
            await source.run(book(1))
            blocks = source.block_hashes(book(1))
            export = await source.state.client.cache.export((*blocks, "unknown"))
            self.assertEqual(export.blocks, tuple(blocks))
            if weights_version != "1":
                with self.assertRaises(EndpointRejectedError):
                    await target.state.client.cache.take(export)
            else:
                await target.state.client.cache.take(export)
            end = await target.run(book(1), organisation)
            self.assertEqual(end.cached_tokens > 1900, hit)

    @in_loop
    async def test_load_lags(self):
        async with run_pair(CacheFaults(load_lag=60.0)) as pair:
            pair.engine.reported_load.record(7)
            self.assertEqual(pair.engine.reported_load.report(), 0)
