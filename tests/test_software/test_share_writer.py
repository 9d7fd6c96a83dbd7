"""Tests of gateways that keep the shares of software versions in the store."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.software.records import SHARES_KIND, read_record
from standins.users_platform.harness import (
    ENGINES,
    GatewayHarness,
    running_gateway,
    serve_gateway,
    until,
)
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.gateway.state import GatewayState

OLD, NEW = "v1", "v2"
WRITES = (f"POST {SHARES_KIND}", f"PUT {SHARES_KIND}")
# Any further write would come within this time, as all delays are over by then.
QUIET_S = 3.0


def shares(state: GatewayState) -> dict[str, float]:
    """Return the shares in force at a gateway."""
    record = state.shares.records_by_service.get(ENGINES)
    return record.periods[-1].shares_by_software if record else {}


def number(state: GatewayState) -> int:
    """Return the number of the record in force at a gateway, 0 without any."""
    record = state.shares.records_by_service.get(ENGINES)
    return record.number if record else 0


def write_count(world: GatewayHarness) -> int:
    """Return how many writes of records the store was sent."""
    return sum(world.store.calls.count(each) for each in WRITES)


def release(world: GatewayHarness, *indexes: int) -> None:
    """List engines with the new version."""
    for index in indexes:
        world.engines[index].software = NEW
        world.list_endpoint(world.engines[index])


class ShareWriterTests(unittest.TestCase):
    def test_gateways_agree_without_a_storm_of_writes(self) -> None:
        async def act(world: GatewayHarness, others: list[GatewayState]) -> None:
            states = [world.state, *others]
            await until(lambda: all(shares(each) == {OLD: 1.0} for each in states))
            await anyio.sleep(QUIET_S)
            # Gateways that start together may write the first record at once.
            self.assertLessEqual(write_count(world), len(states))
            before = write_count(world)
            release(world, 0)
            expected = {OLD: 0.6667, NEW: 0.3333}
            await until(lambda: all(shares(each) == expected for each in states))
            await anyio.sleep(QUIET_S)
            self.assertEqual(write_count(world), before + 1)
            self.assertEqual({number(each) for each in states}, {2})

        run_gateways(act)

    # What fails at the gateway whose turn it is.
    @parameterized.expand([("dead",), ("leaving",)])
    def test_another_gateway_writes_if_the_first_does_not(self, trouble: str) -> None:
        async def act(world: GatewayHarness, others: list[GatewayState]) -> None:
            await until(lambda: number(others[0]) == 1)
            if trouble == "dead":
                missing = frozenset({Address(HOST, 0)})
                for each in (world.state, *others):
                    each.nodes |= missing
            world.state.leaving = trouble == "leaving"
            release(world, 0, 1, 2)
            await until(lambda: shares(others[0]) == {NEW: 1.0})

        run_gateways(act)

    def test_nothing_changes_and_little_is_tried_while_the_store_is_down(self) -> None:
        async def act(world: GatewayHarness, others: list[GatewayState]) -> None:
            await until(lambda: number(others[0]) == number(world.state) == 1)
            world.store.down = True
            world.store.abort_watches()
            before = write_count(world)
            # Both gateways see no engine of the old version any more.
            for state in (world.state, *others):
                for each in tuple(state.fleet.by_name.values()):
                    state.fleet.by_name[each.name] = replace(each, software=NEW)
            await anyio.sleep(QUIET_S)
            self.assertLessEqual(write_count(world) - before, 6)
            self.assertEqual(shares(world.state), {OLD: 1.0})
            release(world, 0, 1, 2)
            world.store.down = False
            await until(lambda: shares(others[0]) == shares(world.state) == {NEW: 1.0})

        run_gateways(act)

    # What the store comes back with: nothing, an older record or an odd object.
    @parameterized.expand([("nothing",), ("older",), ("odd",)])
    def test_record_that_the_store_has_lost_is_written_again(self, kind: str) -> None:
        async def act(world: GatewayHarness, others: list[GatewayState]) -> None:
            await until(lambda: number(world.state) == 1)
            copied = world.store.copy()
            if kind == "nothing":
                del copied.objects_by_kind[SHARES_KIND]
            if kind == "odd":
                stored = copied.objects_by_kind[SHARES_KIND][ENGINES]
                copied.objects_by_kind[SHARES_KIND][ENGINES] = {**stored, "Spec": []}
            entries = copied.objects_by_kind["servers"]
            release(world, 0, 1)
            states = [world.state, *others]
            await until(lambda: all(NEW in shares(each) for each in states))
            known = shares(world.state)
            lost = number(world.state)
            entries.update(world.store.copy().objects_by_kind["servers"])
            world.store.restore(copied)
            await until(lambda: all(number(each) > lost for each in states))
            record = read_record(world.store.spec(SHARES_KIND, ENGINES))
            self.assertEqual(record, world.state.shares.records_by_service[ENGINES])
            self.assertEqual(shares(others[0]), known)

        run_gateways(act, era=1)

    def test_gateway_that_starts_later_reads_the_record(self) -> None:
        async def act(world: GatewayHarness, _others: list[GatewayState]) -> None:
            await until(lambda: number(world.state) == 1)
            before = write_count(world)
            port = world.state.settings.store.port
            async with serve_gateway(port, "n3") as (state, _):
                await until(lambda: shares(state) == {OLD: 1.0})
            self.assertEqual(write_count(world), before)

        run_gateways(act)


def run_gateways(
    act: Callable[[GatewayHarness, list[GatewayState]], Awaitable[None]], era: int = 0
) -> None:
    """Run two gateways that list each other; the harness's own writes first."""

    async def run() -> None:
        world = GatewayHarness()
        world.store.era = era
        async with running_gateway(world):
            port = world.state.settings.store.port
            async with serve_gateway(port, "n2") as (other, _):
                inner = Address(HOST, 2)
                other.settings = replace(other.settings, inner=inner)
                for each in (world.state, other):
                    each.nodes = frozenset({world.state.settings.inner, inner})
                await act(world, [other])

    anyio.run(run)
