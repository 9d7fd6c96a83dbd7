"""Tests of gateways whose store comes back from an older copy."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio
from parameterized import parameterized

from agatehoist.core.address import Address
from standins.users_platform.harness import (
    GatewayHarness,
    configuration,
    running_gateway,
    until,
)
from standins.users_platform.loopback import listen_on_loopback
from tests.test_gateway.test_store_follow import (
    UNREACHABLE,
    follow,
    serving,
    start_watcher,
    version,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.gateway.state import GatewayState

# A confirmed change must be in force within this time of the store's return.
IN_FORCE_S = 2.0
LAST_VERSION = 12


async def change_and_restore(world: GatewayHarness, copied_at: int = 4) -> None:
    """Confirm configurations, some of them after the copy that the store returns to."""
    for number in range(4, LAST_VERSION + 1):
        world.store.put("config", "main", configuration(version=number))
        if number == copied_at:
            copied = world.store.copy()
    await anyio.sleep(0.2)
    world.store.down = True
    world.store.abort_watches()
    await anyio.sleep(0.5)
    world.store.restore(copied)
    world.store.down = False


class OneGatewayTests(unittest.TestCase):
    # What the store's numbers reach in the new era before the next change.
    @parameterized.expand([("lower", 0), ("as_high_as_before", 8), ("higher", 30)])
    def test_change_after_the_restore_is_in_force(
        self, _name: str, writes: int
    ) -> None:
        async def act(world: GatewayHarness) -> None:
            await change_and_restore(world)
            for number in range(writes):
                world.store.put("other", f"o{number}", {})
            world.store.put("config", "main", configuration(version=LAST_VERSION))
            world.store.put("config", "main", configuration(version=LAST_VERSION + 1))
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: version(world.state) == LAST_VERSION + 1)

        run_in_first_era(act)

    def test_confirmed_change_stays_in_force_while_the_store_lacks_it(self) -> None:
        async def act(world: GatewayHarness) -> None:
            await change_and_restore(world)
            await anyio.sleep(1.0)
            self.assertEqual(version(world.state), LAST_VERSION)

        run_in_first_era(act)

    def test_version_that_is_given_out_again_replaces_the_lost_one(self) -> None:
        async def act(world: GatewayHarness) -> None:
            await change_and_restore(world)
            changed = configuration(version=LAST_VERSION, Tenants=[])
            world.store.put("config", "main", changed)
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: not organisations(world.state))

        run_in_first_era(act)

    def test_endpoint_that_the_store_forgot_gets_requests_once_it_is_back(self) -> None:
        async def act(world: GatewayHarness) -> None:
            copied = world.store.copy()
            late = world.engines[0]
            world.list_endpoint(late, Slots=9)
            world.store.restore(copied)
            world.list_endpoint(late, Slots=10)
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: world.state.fleet.by_name[late.name].slots == 10)

        run_in_first_era(act)

    def test_era_that_began_while_the_gateway_slept_is_noticed(self) -> None:
        async def act(world: GatewayHarness) -> None:
            copied = world.store.copy()
            # No connection breaks, and the numbers pass the old ones meanwhile.
            world.store.objects_by_kind = copied.objects_by_kind
            world.store.era += 1
            for number in range(9):
                world.store.put("other", f"o{number}", {})
            world.store.put("config", "main", configuration(version=LAST_VERSION))
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: version(world.state) == LAST_VERSION)
            await until(
                lambda: (
                    {each.era for each in world.state.feed.revisions_by_topic.values()}
                    == {world.store.era}
                )
            )

        run_in_first_era(act)

    def test_two_restores_in_a_row_leave_the_last_change_in_force(self) -> None:
        async def act(world: GatewayHarness) -> None:
            copied = world.store.copy()
            await change_and_restore(world)
            world.store.restore(copied)
            world.store.put("config", "main", configuration(version=LAST_VERSION + 1))
            with anyio.fail_after(IN_FORCE_S):
                await until(lambda: version(world.state) == LAST_VERSION + 1)

        run_in_first_era(act)


class FollowerTests(unittest.TestCase):
    def test_change_after_the_restore_reaches_followers(self) -> None:
        async def act(world: GatewayHarness) -> None:
            async with (
                listen_on_loopback(start_watcher(world)) as port,
                anyio.create_task_group() as task_group,
            ):
                follower = await follow(world, port, task_group, UNREACHABLE)
                await self._check(world, follower)
                task_group.cancel_scope.cancel()

        run_in_first_era(act)

    def test_follower_that_reads_the_store_itself_gets_the_change(self) -> None:
        async def act(world: GatewayHarness) -> None:
            async with anyio.create_task_group() as task_group:
                store = world.state.settings.store
                follower = await follow(world, UNREACHABLE.port, task_group, store)
                await self._check(world, follower)
                task_group.cancel_scope.cancel()

        run_in_first_era(act)

    def test_follower_of_the_new_era_takes_nothing_from_a_watcher_of_the_old_one(
        self,
    ) -> None:
        async def act(world: GatewayHarness) -> None:
            async with (
                listen_on_loopback(start_watcher(world)) as port,
                anyio.create_task_group() as task_group,
            ):
                store = world.state.settings.store
                follower = await follow(world, UNREACHABLE.port, task_group, store)
                copied = world.store.copy()
                world.list_endpoint(world.engines[0], State="draining")
                await until(lambda: world.engines[0].name not in serving(world.state))
                # The watcher doesn't see the restore.
                world.store.silence_watches("servers")
                world.store.era += 1
                world.store.objects_by_kind = copied.objects_by_kind
                await until(
                    lambda: follower.feed.revisions_by_topic["endpoints"].era == 2
                )
                follower.watchers = {Address("127.0.0.1", port): "z1"}
                world.store.put("config", "main", configuration(version=LAST_VERSION))
                with anyio.fail_after(IN_FORCE_S):
                    await until(lambda: version(follower) == LAST_VERSION)
                task_group.cancel_scope.cancel()

        run_in_first_era(act)

    async def _check(self, world: GatewayHarness, follower: GatewayState) -> None:
        await change_and_restore(world)
        world.store.put("config", "main", configuration(version=LAST_VERSION + 1))
        with anyio.fail_after(2 * IN_FORCE_S):
            await until(lambda: version(follower) == LAST_VERSION + 1)


def organisations(state: GatewayState) -> int:
    """Return the number of organisations in the configuration in force."""
    return len(state.table.organisations_by_key) if state.table else 0


def run_in_first_era(act: Callable[[GatewayHarness], Awaitable[None]]) -> None:
    """Run a gateway on a store that states its era."""

    async def run() -> None:
        world = GatewayHarness()
        world.store.era = 1
        async with running_gateway(world):
            await act(world)

    anyio.run(run)
