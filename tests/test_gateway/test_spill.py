"""Tests of the data centre to which a gateway sends calls of plain services."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

import anyio
from parameterized import parameterized

from agatehoist.gateway.settings import PlacementSettings
from agatehoist.observability.metrics import DATA_CENTRE_BYTES_TOTAL
from standins.users_platform.harness import GatewayHarness, running_gateway, until

SLOTS = 6
REQUESTS = 4


class CallTests(unittest.TestCase):
    # Case; the data centre of the second application; whether the setting allows it;
    # the runs at the first application, which is in the data centre of the gateway; and
    # the calls that it gets.
    @parameterized.expand(
        [
            ("own_data_centre_has_room", "z2", True, SLOTS - 1, REQUESTS),
            ("longer_wait_here", "z2", True, 3 * SLOTS, 0),
            ("one_data_centre", "z1", True, 1, 0),
            ("disabled", "z2", False, 1, 0),
        ]
    )
    def test_calls_leave_only_for_a_shorter_wait(
        self, _name: str, data_centre: str, spills: bool, runs: int, expected: int
    ) -> None:
        with mock.patch.object(DATA_CENTRE_BYTES_TOTAL, "add") as add:
            served = anyio.run(self._ask, data_centre, spills, runs)
        self.assertEqual(served, expected)
        left = REQUESTS - expected if data_centre == "z2" else 0
        self.assertEqual(add.call_count, left)

    async def _ask(self, data_centre: str, spills: bool, runs: int) -> int:
        """Return how many calls the first application gets."""
        world = GatewayHarness()
        async with running_gateway(world):
            state = world.state
            state.apply_settings(
                replace(state.settings, placement=PlacementSettings(spills=spills))
            )
            first, second = world.applications
            world.list_endpoint(first, Zone="z1", Slots=SLOTS)
            world.list_endpoint(second, Zone=data_centre, Slots=SLOTS)
            by_name = state.fleet.by_name
            await until(
                lambda: (
                    by_name[first.name].slots == by_name[second.name].slots == SLOTS
                    and by_name[second.name].data_centre == data_centre
                )
            )
            for _ in range(runs):
                state.load.track(by_name[first.name].lifetime, 0)
            for index in range(REQUESTS):
                await world.ask("/look/1", x_agatehoist_request_id=f"r{index}")
            return len(first.runs)
