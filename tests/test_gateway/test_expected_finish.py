"""Tests of the placement by expected finish in a gateway."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

import anyio
from parameterized import parameterized

from agatehoist.gateway.endpoint_choice import find_offers
from agatehoist.gateway.settings import PlacementSettings
from standins.users_platform.harness import (
    ENGINES,
    GatewayHarness,
    configuration,
    running_gateway,
)

LONG = {
    "x_agatehoist_token_count": "9190,10",
    "x_agatehoist_prompt_prefix": "book:6300,own:2890",
}
FIGURES = {
    "Stride": 4,
    "KvCapacity": 71_780,
    "KvTokenBytes": 131_072,
    "LinkMbps": 280_000,
}
# Prompt tokens that a run holds or an endpoint has yet to read.
BACKLOG_TOKENS = 30_000


def configured(**figures: int) -> dict[str, Any]:
    services = configuration()["Services"]
    services[0]["Engine"].update(figures)
    return configuration(Services=services)


class PlacementTests(unittest.TestCase):
    # Case; what the engines state; whether the setting allows it; the tokens that wait
    # at the holder; and whether the holder gets the request.
    @parameterized.expand(
        [
            ("idle_holder", FIGURES, True, 0, True),
            # It would take 0.75 s there, and 0.16 s to compute the part elsewhere.
            ("busy_holder", FIGURES, True, BACKLOG_TOKENS, False),
            ("no_figures", {}, True, 0, True),
            ("disabled", FIGURES, False, 0, True),
        ]
    )
    def test_holder_gets_a_prompt_unless_it_is_busy(
        self,
        _name: str,
        figures: dict[str, int],
        by_finish: bool,
        backlog: int,
        expected: bool,
    ) -> None:
        took_holder, states_finish = anyio.run(self._ask, figures, by_finish, backlog)
        self.assertEqual(took_holder, expected)
        self.assertEqual(states_finish, bool(figures) and by_finish)

    async def _ask(
        self, figures: dict[str, int], by_finish: bool, backlog: int
    ) -> tuple[bool, bool]:
        """Return whether the holder of the part got the second request.

        Also return whether its offer stated its finish.
        """
        world = GatewayHarness()
        world.store.put("config", "main", configured(**figures))
        async with running_gateway(world):
            state = world.state
            state.apply_settings(
                replace(
                    state.settings, placement=PlacementSettings(by_finish=by_finish)
                )
            )
            finishes: list[bool] = []
            # Any request will do, so the one that the gateway routes is taken.
            state.platform.dispatched_head, dispatched = (  # type: ignore[method-assign]
                lambda *arguments: self._record(state, finishes, dispatched, arguments),
                state.platform.dispatched_head,
            )
            await world.ask_prompt("/trace/1", **LONG)
            (holder,) = [each for each in world.engines if each.runs]
            endpoints = state.fleet.serving(ENGINES, 0.0)
            (endpoint,) = [each for each in endpoints if each.name == holder.name]
            holder.runs.clear()
            if backlog:
                state.load.track(endpoint.lifetime, backlog)
            await world.ask_prompt("/trace/1", **LONG)
            return bool(holder.runs), all(finishes)

    @staticmethod
    def _record(
        state: Any, finishes: list[bool], dispatched: Any, arguments: tuple[Any, ...]
    ) -> Any:
        offers = find_offers(state, arguments[0], frozenset())
        finishes += [each.finish is not None for each in offers]
        return dispatched(*arguments)
