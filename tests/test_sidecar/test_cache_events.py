"""Tests of the cache index of a sidecar with exact, late and lost cache events."""

from __future__ import annotations

import itertools
import json
import unittest
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import anyio
from parameterized import parameterized

from agatehoist.core.clock import SystemClock
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import CompletionWork, Continuation, Priority, Run
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
PROMPT_TOKENS = 2000
WAIT_S = 20

FAULTS = [
    ("exact", CacheFaults()),
    ("late", CacheFaults(event_delay=0.3)),
    ("half_lost", CacheFaults(event_loss=0.5)),
    ("late_and_half_lost", CacheFaults(event_delay=0.3, event_loss=0.5)),
]

# Case, the faults of an engine that has changed its weights unnoticed, and the refusal.
ENGINES_WITH_OTHER_WEIGHTS = [
    ("it_refuses", CacheFaults(), "stale_placement", Run.NO),
    (
        "it_only_states_its_version",
        CacheFaults(ignore_expected_version=True),
        "endpoint_failed",
        Run.UNKNOWN,
    ),
    (
        "it_tells_nothing",
        CacheFaults(ignore_expected_version=True, state_no_epoch=True),
        "endpoint_failed",
        Run.UNKNOWN,
    ),
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
        router_version: str = "",
        continuation: Continuation | None = None,
    ) -> CompletionEnd | Refused:
        """Run one completion and return its final message.

        `router_version` is the weights version that the router knows, if it isn't that
        of the engine.
        """
        identity = identity or self.state.identity
        assignment = Assignment(
            AttemptId("router", next(self._numbers)),
            organisation,
            identity,
            Priority.LONG,
            self.state.clock.now() + 60,
        )
        body = json.dumps({"model": MODEL, "prompt": text, "max_tokens": 1})
        work = CompletionWork(
            "/v1/completions", body.encode(), len(text) // 4, 2, continuation
        )
        version = router_version or identity.weights_version
        levels = levels_of(text, organisation, version)
        execution = Execution(assignment.deadline)
        submit = SubmitCompletion(assignment, levels, work)
        await run_completion(self.state, submit, execution)
        assert execution.final_message is not None
        return execution.final_message

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


def prompt_of(number: int) -> str:
    """Return a prompt of PROMPT_TOKENS; 8 characters are 2 tokens."""
    return f"book{number:04d}" * (PROMPT_TOKENS // 2)


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
    async def test_index_claims_no_block_that_the_engine_lost(
        self, _name: str, faults: CacheFaults
    ):
        async with engine_with_sidecar(faults) as sidecar_engine:
            cache_index = sidecar_engine.state.cache_index
            for number in range(12):
                await sidecar_engine.run(prompt_of(number))
            # The 600 blocks hold four whole prompts of 125 blocks and part of a fifth.
            await wait_until(
                lambda: cache_index.matched_tokens(levels_of(prompt_of(0))) == 0
            )
            # No later event reveals the loss of the last one, so request a listing.
            cache_index.request_resync()
            sidecar_engine.state.wake_cache_resync_if_needed()
            await wait_until(lambda: not cache_index.resync_needed)
            matched = [
                cache_index.matched_tokens(levels_of(prompt_of(number)))
                for number in range(12)
            ]
            held = [
                sidecar_engine.held_tokens(prompt_of(number)) for number in range(12)
            ]
            self.assertEqual(matched[8:], [2000] * 4)
            self.assertEqual(matched[:7], [0] * 7)
            self.assertTrue(all(a <= b for a, b in zip(matched, held, strict=True)))

    @run_in_event_loop
    async def test_restarted_engine_has_no_cached_blocks(self):
        async with engine_with_sidecar(CacheFaults()) as sidecar_engine:
            await sidecar_engine.run(prompt_of(1))
            old_identity = sidecar_engine.state.identity
            cache_index = sidecar_engine.state.cache_index
            self.assertGreater(cache_index.matched_tokens(levels_of(prompt_of(1))), 0)
            sidecar_engine.restart_empty()
            stale_end = await sidecar_engine.run(prompt_of(2), identity=old_identity)
            self.assertIsInstance(stale_end, Refused)
            await wait_until(lambda: sidecar_engine.state.identity != old_identity)
            self.assertEqual(cache_index.matched_tokens(levels_of(prompt_of(1))), 0)
            end = await sidecar_engine.run(prompt_of(1))
            self.assertEqual(end.cached_tokens, 0)

    @parameterized.expand([("older_weights", "archive"), ("foreign", "cooperative")])
    @run_in_event_loop
    async def test_blocks_of_other_weights_or_organisation_are_not_used(
        self, name: str, organisation: str
    ):
        async with engine_with_sidecar(CacheFaults(keep_blocks=True)) as sidecar_engine:
            await sidecar_engine.run(prompt_of(1))
            second_end = await sidecar_engine.run(prompt_of(1))
            self.assertGreater(second_end.cached_tokens, 1900)
            old_identity = sidecar_engine.state.identity
            if name == "older_weights":
                sidecar_engine.engine.clear_cache()
                sidecar_engine.engine.weights_version = "2"
                stale_end = await sidecar_engine.run(
                    prompt_of(1), identity=old_identity
                )
                self.assertIsInstance(stale_end, Refused)
                await sidecar_engine.state.refresh_status()
            self.assertGreater(len(sidecar_engine.engine.cache.blocks()), 100)
            weights_version = sidecar_engine.state.identity.weights_version
            levels = levels_of(prompt_of(1), organisation, weights_version)
            self.assertEqual(sidecar_engine.state.cache_index.matched_tokens(levels), 0)
            end = await sidecar_engine.run(prompt_of(1), organisation)
            self.assertEqual(end.cached_tokens, 0)

    # Case, whether the engine ignores the expected version, the weights that it has
    # changed to unnoticed, and whether it may run a prompt that was placed before.
    @parameterized.expand(
        [
            ("same_weights", False, "1", True),
            ("other_weights", False, "2", False),
            ("other_weights_ignored", True, "2", False),
        ]
    )
    @run_in_event_loop
    async def test_other_weights_fill_no_cache_under_the_salt_of_the_expected_ones(
        self, _name: str, ignored: bool, weights_version: str, runs: bool
    ):
        faults = CacheFaults(keep_blocks=True, ignore_expected_version=ignored)
        async with engine_with_sidecar(faults) as sidecar_engine:
            old_identity = sidecar_engine.state.identity
            sidecar_engine.engine.weights_version = weights_version
            final_message = await sidecar_engine.run(
                prompt_of(1), identity=old_identity
            )
            # The weights are rolled back, and the engine has kept its blocks.
            sidecar_engine.engine.weights_version = "1"
            await sidecar_engine.state.refresh_status()
            end = await sidecar_engine.run(prompt_of(1), identity=old_identity)
            self.assertEqual(end.cached_tokens, PROMPT_TOKENS if runs else 0)
            self.assertEqual(isinstance(final_message, CompletionEnd), runs)

    @parameterized.expand(ENGINES_WITH_OTHER_WEIGHTS)
    @run_in_event_loop
    async def test_answer_on_other_weights_is_no_success(
        self, _name: str, faults: CacheFaults, code: str, run: Run
    ):
        async with engine_with_sidecar(faults) as sidecar_engine:
            old_identity = sidecar_engine.state.identity
            sidecar_engine.engine.weights_version = "2"
            final_message = await sidecar_engine.run(
                prompt_of(1), identity=old_identity
            )
            self.assertIsInstance(final_message, Refused)
            refusal = final_message.refusal
            self.assertEqual((refusal.code, refusal.run), (code, run))

    @parameterized.expand([("router_is_behind", "1", "2"), ("ahead", "2", "1")])
    @run_in_event_loop
    async def test_cache_is_named_by_the_weights_of_the_engine_not_of_the_router(
        self, _name: str, router_version: str, weights_version: str
    ):
        async with engine_with_sidecar(CacheFaults(keep_blocks=True)) as sidecar_engine:
            state = sidecar_engine.state
            sidecar_engine.engine.weights_version = weights_version
            await state.refresh_status()
            await sidecar_engine.run(prompt_of(1), router_version=router_version)
            salt = salt_for("archive", MODEL, weights_version).hex()
            expected = block_hashes(tokenize(prompt_of(1)), salt)
            self.assertEqual(set(sidecar_engine.engine.cache.blocks()), set(expected))
            # The engine comes to the weights that the router knew; its own index then
            # has no entry for them.
            sidecar_engine.engine.weights_version = router_version
            await state.refresh_status()
            levels = levels_of(prompt_of(1), "archive", router_version)
            self.assertEqual(state.cache_index.matched_tokens(levels), 0)
            end = await sidecar_engine.run(prompt_of(1))
            self.assertEqual(end.cached_tokens, 0)

    # Case, the weights that the answer is continued on, and whether the prompt's cache
    # may be used there.
    @parameterized.expand([("same_weights", "1", True), ("other_weights", "2", False)])
    @run_in_event_loop
    async def test_continued_answer_is_read_again_on_other_weights(
        self, _name: str, weights_version: str, hit: bool
    ):
        async with engine_with_sidecar(CacheFaults(keep_blocks=True)) as sidecar_engine:
            await sidecar_engine.run(prompt_of(1))
            sidecar_engine.engine.weights_version = weights_version
            await sidecar_engine.state.refresh_status()
            end = await sidecar_engine.run(
                prompt_of(1), continuation=Continuation("salmon", 1)
            )
            self.assertEqual(end.cached_tokens, PROMPT_TOKENS if hit else 0)

    @parameterized.expand([("same_weights", "1", True), ("other_weights", "2", False)])
    @run_in_event_loop
    async def test_blocks_exported_after_a_change_of_weights_are_not_imported(
        self, _name: str, weights_version: str, imported: bool
    ):
        async with (
            engine_with_sidecar(CacheFaults(keep_blocks=True)) as source,
            engine_with_sidecar(CacheFaults()) as target,
        ):
            await source.run(prompt_of(1))
            # The import was decided on while both had the same weights.
            source.engine.weights_version = weights_version
            cache = source.state.client.cache
            export = await cache.export(source.block_hashes(prompt_of(1)))
            self.assertEqual(export.epoch.weights_version, weights_version)
            with suppress(EndpointRejectedError):
                await target.state.client.cache.import_blocks(export)
            self.assertEqual(bool(target.engine.cache.blocks()), imported)

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
            await source.run(prompt_of(1))
            blocks = source.block_hashes(prompt_of(1))
            export = await source.state.client.cache.export((*blocks, "unknown"))
            self.assertEqual(export.blocks, tuple(blocks))
            if weights_version != "1":
                with self.assertRaises(EndpointRejectedError):
                    await target.state.client.cache.import_blocks(export)
            else:
                await target.state.client.cache.import_blocks(export)
            end = await target.run(prompt_of(1), organisation)
            self.assertEqual(end.cached_tokens > 1900, hit)

    @run_in_event_loop
    async def test_standin_engine_delays_its_reported_load(self):
        async with engine_with_sidecar(CacheFaults(load_lag=60.0)) as sidecar_engine:
            sidecar_engine.engine.reported_load.record(7)
            self.assertEqual(sidecar_engine.engine.reported_load.report(), 0)
