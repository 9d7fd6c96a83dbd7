"""Tests of the choice between fetching shared prompt parts and computing them."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.cache.part_fetches import (
    FetchRates,
    FetchSource,
    HeldPrompt,
    HeldPrompts,
    pays_to_save,
    plan_fetch,
)

TOKENS = 6_300
# 131 KB a token: 825 MB, 24 ms on a link of 280 Gbit/s and 194 ms to compute.
RATES = FetchRates(32_400.0, 131_072, 280_000.0, wait_s_per_mb=0.001)
FREE_TRAFFIC = FetchRates(32_400.0, 131_072, 280_000.0, wait_s_per_mb=0.0)
SLOW_LINK = FetchRates(32_400.0, 131_072, 20_000.0, wait_s_per_mb=0.001)
ENGINE = FetchSource("engine", TOKENS, False)
DISTANT = FetchSource("distant", TOKENS, True)
STORE = FetchSource("store", TOKENS, False, 280_000.0, is_sure=True)
SLOW_STORE = FetchSource("slow", TOKENS, False, 10_000.0, is_sure=True)


class FetchTests(unittest.TestCase):
    # Case, the sources, the rates, the tokens in memory, and the source that is chosen.
    @parameterized.expand(
        [
            ("nothing_has_it", (), RATES, 0, None),
            ("engine", (ENGINE,), RATES, 0, "engine"),
            ("store_is_surer", (ENGINE, STORE), RATES, 0, "store"),
            ("slow_store", (SLOW_STORE, ENGINE), RATES, 0, "engine"),
            ("slow_store_alone", (SLOW_STORE,), RATES, 0, None),
            ("link_slower_than_prefill", (ENGINE,), SLOW_LINK, 0, None),
            ("traffic_costs_more_than_prefill", (DISTANT,), RATES, 0, None),
            ("free_traffic", (DISTANT,), FREE_TRAFFIC, 0, "distant"),
            ("little_is_missing", (ENGINE,), RATES, TOKENS - 300, None),
        ]
    )
    def test_parts_are_fetched_only_where_that_costs_less(
        self,
        _name: str,
        sources: tuple[FetchSource, ...],
        rates: FetchRates,
        cached: int,
        expected: str | None,
    ) -> None:
        plan = plan_fetch(cached, sources, rates)
        self.assertEqual(plan and plan.source, expected)

    def test_fetch_between_data_centres_takes_twice_as_long(self) -> None:
        near, distant = (
            plan_fetch(0, (each,), FREE_TRAFFIC) for each in (ENGINE, DISTANT)
        )
        assert near is not None
        assert distant is not None
        self.assertAlmostEqual(near.fetch_s, 0.0236, places=4)
        self.assertAlmostEqual(distant.fetch_s, 2 * near.fetch_s)

    def test_copies_for_other_data_centres_are_saved_only_at_low_cost(
        self,
    ) -> None:
        self.assertFalse(pays_to_save(TOKENS + 2_890, TOKENS, RATES))
        self.assertTrue(pays_to_save(TOKENS + 2_890, TOKENS, FREE_TRAFFIC))

    def test_holders_are_searched_once_for_all_endpoints_compared(self) -> None:
        """A search for each of 25 endpoints looks at 625 memories."""
        held, searches, prompt = HeldPrompts(), [0], object()

        def search() -> tuple[HeldPrompt, ...]:
            searches[0] += 1
            return (HeldPrompt("e@1", "host:1", "dc1", TOKENS),)

        for index in range(25):
            self.assertTrue(held.find(prompt, 1, index / 10_000, search))
        self.assertEqual(searches[0], 1)
        held.find(prompt, 2, 0.0, search)
        held.find(prompt, 1, 1.0, search)
        self.assertEqual(searches[0], 3)
