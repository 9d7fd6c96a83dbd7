"""Tests of streams that their callers resume beside other software versions."""

from __future__ import annotations

import json
import unittest
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.registry import Registry
from agatehoist.http1.errors import ConnectionFailedError
from agatehoist.software.assignment import assigned_software
from agatehoist.software.journal import (
    ORIGINS_KIND,
    JournalEntry,
    id_digest,
    read_journal,
    write_journal,
)
from agatehoist.software.origins import JournalNeed
from standins.users_platform.harness import (
    GatewayHarness,
    run_standins,
    running_gateway,
    serve_gateway,
    until,
)
from tests.test_gateway.callers import slow_configuration
from tests.test_gateway.test_software_versions import software_of
from tests.test_software.support import (
    HALVES,
    NEW,
    OLD,
    ONLY_NEW,
    ONLY_OLD,
    record_of,
    request_id_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.types import Reply

EVENT_COUNT = 300
SHORT_STREAM = "/trace/short"
# The stream is under way for so long before it breaks off.
STREAMED_S = 0.6
# A caller that is told to come back this soon hasn't to wait for anything.
FINAL_RETRY_S = 0.5
# Above the numbers of records that gateways write themselves.
FIRST_RECORD = 1000
Periods = tuple[tuple[float, dict[str, float]], ...]

# What has happened when a stream is resumed.
TROUBLES: Registry[Callable[[ResumedStreamWorld], None]] = Registry("trouble")


@dataclass(frozen=True, slots=True)
class Scenario:
    """Hold the periods of the shares, by age and versions, and what else happens.

    `during` is set while the stream is under way, and holds when it is resumed.
    """

    killed: bool = True
    stream_id: str = "r1"
    before: Periods = ()
    during: Periods = ()
    trouble: str = "none"


def set_shares(state: GatewayState, periods: Periods) -> None:
    """Put a record of shares in force at a gateway, if there are any."""
    if periods:
        number = FIRST_RECORD + len(periods)
        state.shares.accept(record_of(*periods, number=number, at=state.clock.now()))


class ResumedStreamWorld(GatewayHarness):
    """Break off a stream of the old version whose next home is of the new one."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__()
        self.scenario = scenario
        self.store.put("config", "main", slow_configuration())
        for each in self.engines:
            each.event_count = EVENT_COUNT
            each.event_counts_by_target[SHORT_STREAM] = 5

    async def begin_stream(self) -> None:
        """Begin the stream, and then let another engine get the new version."""
        # The next request with this prompt goes to the same engine.
        await self.ask_prompt(SHORT_STREAM, x_agatehoist_request_id="r0")
        (home,) = (each for each in self.engines if each.runs)
        self.list_endpoint(home, State="draining")
        await until(lambda: self.state.fleet.by_name[home.name].leaving)
        set_shares(self.state, self.scenario.before)
        self.state.spawn(self._ask)
        await until(lambda: any(each.active for each in self.engines))
        set_shares(self.state, self.scenario.during)
        await anyio.sleep(STREAMED_S)
        home.restart()
        home.software = NEW
        self.list_endpoint(home)
        await until(lambda: self.state.fleet.by_name[home.name].software == NEW)

    async def _ask(self) -> None:
        stream_id = self.scenario.stream_id
        with suppress(ConnectionFailedError), anyio.move_on_after(2 * STREAMED_S):
            await self.ask_prompt("/trace/1", x_agatehoist_request_id=stream_id)

    async def resume(self) -> Reply:
        """Resume the stream as r2."""
        set_shares(self.state, self.scenario.during or self.scenario.before)
        TROUBLES[self.scenario.trouble](self)
        await until(lambda: self.store.down or self.all_are_known())
        headers = {
            "x_agatehoist_request_id": "r2",
            "last_event_id": "2",
            "resumes": self.scenario.stream_id,
        }
        return await self.ask_prompt(SHORT_STREAM, **headers)

    def all_are_known(self) -> bool:
        """Return whether the gateway knows which engines leave."""
        listed = self.state.fleet.by_name
        entries = {
            n: o["Spec"] for n, o in self.store.objects_by_kind["servers"].items()
        }
        return all(
            listed[name].leaving == (entry["State"] == "draining")
            for name, entry in entries.items()
        )


@TROUBLES.register("none")
def _none(_world: ResumedStreamWorld) -> None:
    """Change nothing."""


@TROUBLES.register("store_down")
def _stop_store(world: ResumedStreamWorld) -> None:
    world.store.down = True


@TROUBLES.register("journals_lost")
def _lose_journals(world: ResumedStreamWorld) -> None:
    world.store.objects_by_kind[ORIGINS_KIND].clear()


@TROUBLES.register("odd_journal")
def _add_odd_journal(world: ResumedStreamWorld) -> None:
    world.store.put(ORIGINS_KIND, "n9", {"entries": "odd"})


@TROUBLES.register("version_gone")
def _let_old_version_leave(world: ResumedStreamWorld) -> None:
    for each in world.engines:
        if each.software == OLD:
            world.list_endpoint(each, State="draining")


def play(world: ResumedStreamWorld) -> Reply:
    """Break off a stream, and return the reply to its resumption.

    If its gateway is killed, the stream is resumed at one that starts after it.
    """
    replies: list[Reply] = []

    async def run() -> None:
        async with run_standins(world) as store_port:
            async with serve_gateway(store_port) as gateway:
                world.state, world.port = gateway
                await world.begin_stream()
                if not world.scenario.killed:
                    await until(lambda: not any(each.active for each in world.engines))
                    replies.append(await world.resume())
            if world.scenario.killed:
                async with serve_gateway(store_port, "n2") as gateway:
                    world.state, world.port = gateway
                    replies.append(await world.resume())

    anyio.run(run)
    return replies[0]


KEPT, MOVED = request_id_of(OLD), request_id_of(NEW)
STEADY: Periods = ((90, HALVES),)
CHANGED: Periods = ((90, ONLY_OLD), (0, HALVES))
ASSIGNED = Scenario(stream_id=KEPT, before=STEADY)
# The shares change while the stream is under way.
SHIFTED = Scenario(stream_id=MOVED, before=CHANGED[:1], during=CHANGED)


class ResumedStreamTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("same_gateway", Scenario(killed=False)),
            ("after_a_kill", Scenario()),
            ("same_gateway_store_down", Scenario(killed=False, trouble="store_down")),
            ("assigned", ASSIGNED),
            ("assigned_store_down", replace(ASSIGNED, trouble="store_down")),
            ("shares_change_in_stream", SHIFTED),
            ("beside_odd_journal", replace(SHIFTED, trouble="odd_journal")),
            # No endpoint had the version that the id is assigned to.
            ("exception", Scenario(before=((90, ONLY_NEW),))),
        ]
    )
    def test_stream_is_not_resumed_at_another_software_version(
        self, _name: str, scenario: Scenario
    ) -> None:
        world = ResumedStreamWorld(scenario)
        reply = play(world)
        self.assertEqual(reply.head.status, 200)
        self.assertEqual(software_of(world, "r2"), {OLD})

    @parameterized.expand(
        [
            (
                "ambiguous_store_down",
                replace(SHIFTED, trouble="store_down"),
                "origin_unknown",
                False,
            ),
            (
                "ambiguous_journal_lost",
                replace(SHIFTED, trouble="journals_lost"),
                "origin_unknown",
                True,
            ),
            ("gone", Scenario(trouble="version_gone"), "version_gone", True),
            (
                "gone_at_same_gateway",
                Scenario(killed=False, trouble="version_gone"),
                "version_gone",
                True,
            ),
        ]
    )
    def test_stream_that_can_not_go_on_is_refused_and_not_run(
        self, _name: str, scenario: Scenario, code: str, is_final: bool
    ) -> None:
        """A caller that waits for what won't change asks for a new stream too late."""
        world = ResumedStreamWorld(scenario)
        reply = play(world)
        self.assertEqual(reply.head.status, 503)
        self.assertIn(code, reply.body.decode())
        retry_after_s = float(reply.head.value(b"retry-after") or 0)
        self.assertEqual(retry_after_s < FINAL_RETRY_S, is_final)
        self.assertEqual(software_of(world, "r2"), set())


class NewStreamTests(unittest.TestCase):
    # A fault of the engine of the new version, and where streams begin that are
    # assigned to it.
    @parameterized.expand([("sound", "", NEW), ("shed", "shed", OLD)])
    def test_stream_begins_at_the_assigned_version_while_it_has_an_endpoint(
        self, _name: str, fault: str, expected: str
    ) -> None:
        world = GatewayHarness()
        world.engines[0].software = NEW
        world.engines[0].faults = [fault]
        record = record_of(*STEADY, number=FIRST_RECORD)
        began: dict[str, set[str]] = {}

        async def run() -> None:
            async with running_gateway(world):
                world.state.shares.accept(record)
                for request_id in (MOVED, KEPT):
                    await world.ask_prompt(
                        "/trace/1", x_agatehoist_request_id=request_id
                    )
                    began[request_id] = software_of(world, request_id)
                await until(
                    lambda: fault == "" or ORIGINS_KIND in world.store.objects_by_kind
                )

        anyio.run(run)
        self.assertEqual(assigned_software(record.periods[-1], MOVED), NEW)
        self.assertEqual(began, {MOVED: {expected}, KEPT: {OLD}})
        journaled = json.dumps(world.store.objects_by_kind.get(ORIGINS_KIND, {}))
        self.assertEqual(OLD in journaled, fault == "shed")


class JournalTests(unittest.TestCase):
    def test_ambiguous_stream_is_journaled_before_its_first_event(self) -> None:
        """All gateways may be killed right after it."""
        world = GatewayHarness()
        world.engines[0].software = NEW
        world.engines[0].faults = ["silent_before_head"]
        periods = ((90, ONLY_OLD), (10, HALVES))
        replies: list[Reply] = []

        async def ask() -> None:
            request = {"x_agatehoist_request_id": MOVED}
            replies.append(await world.ask_prompt("/trace/1", **request))

        async def run() -> None:
            async with running_gateway(world), anyio.create_task_group() as task_group:
                set_shares(world.state, periods)
                task_group.start_soon(ask)
                await until(lambda: ORIGINS_KIND in world.store.objects_by_kind)
                self.assertEqual(replies, [])
                journaled = json.dumps(world.store.objects_by_kind[ORIGINS_KIND])
                self.assertIn(NEW, journaled)

        anyio.run(run)
        self.assertEqual(replies[0].head.status, 200)

    def test_process_loses_no_entry_of_other_processes_of_its_node(self) -> None:
        world = GatewayHarness()

        def journal() -> dict[str, JournalEntry]:
            return read_journal(world.store.spec(ORIGINS_KIND, "n1") or {"entries": []})

        async def add(state: GatewayState, request_id: str) -> None:
            known = set(journal())
            expires_at = state.clock.now() + 60
            state.journal.add(request_id, OLD, expires_at, JournalNeed.SOON)
            await until(lambda: journal().keys() == {*known, id_digest(request_id)})

        async def run() -> None:
            async with run_standins(world) as store_port:
                for name in ("first", "second"):
                    async with serve_gateway(store_port) as (state, _):
                        await add(state, f"{name}-1")
                        # As another process of the node would, at the same time.
                        entry = JournalEntry(NEW, state.clock.now() + 60)
                        entries = {**journal(), id_digest(f"{name}-other"): entry}
                        world.store.put(ORIGINS_KIND, "n1", write_journal(entries))
                        await add(state, f"{name}-2")

        anyio.run(run)
        self.assertEqual(len(journal()), 6)
