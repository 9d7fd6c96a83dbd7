"""Tests of leases, local shares and the bound on overshoot."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.limits import shares as shares_module
from agatehoist.limits.bounds import Split, admitted_bound
from agatehoist.limits.bucket import Bucket
from agatehoist.limits.home import CeilingHome
from agatehoist.limits.shares import Ask, RouterShares
from agatehoist.limits.types import (
    Admit,
    Amount,
    Ceiling,
    Grant,
    LeaseAsk,
    Refuse,
    Verdict,
)

NAME = "archive"
RATE = 10.0
PERIOD_S = 30.0
ROUTERS = 8


class Router:
    """Drive the shares of one router against a home in virtual time."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.shares = RouterShares()
        self.asks = 0

    def request(
        self, home: CeilingHome | None, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict:
        """Return the verdict on a request; no home is one out of reach."""
        verdict = self.shares.admit(NAME, ceiling, cost, now)
        if not isinstance(verdict, Ask):
            return verdict
        self.asks += 1
        if home is None:
            return self.shares.lose_home(NAME, ceiling, cost, now)
        ask = LeaseAsk(
            self.name, NAME, 1, ceiling, verdict.need, verdict.wish, verdict.returned
        )
        grant = home.lease(ask, now)
        return self.shares.grant(NAME, cost, verdict, grant, now)


def run_flood(
    home_of: list[list[CeilingHome | None]], seed: int, cost: Amount, ceiling: Ceiling
) -> float:
    """Return what a flood passes; each router follows its list of homes by second."""
    rng = random.Random(seed)
    routers = [Router(f"router-{index}") for index in range(len(home_of))]
    passed = 0
    for tick in range(int(PERIOD_S * 100)):
        now = tick / 100
        index = rng.randrange(len(routers))
        home = home_of[index][int(now)]
        verdict = routers[index].request(home, ceiling, cost, now)
        passed += isinstance(verdict, Admit)
    return passed * max(cost.requests, cost.tokens)


def plan(cut_off: int, homes: int) -> list[list[CeilingHome | None]]:
    """Return homes by router and second: all are heard first, then some are cut off."""
    choices = [CeilingHome() for _ in range(homes)]
    seconds = int(PERIOD_S)
    lists: list[list[CeilingHome | None]] = []
    for index in range(ROUTERS):
        home = choices[index % homes]
        after: CeilingHome | None = None if index < cut_off else home
        lists.append([home] * 3 + [after] * (seconds - 3))
    return lists


class OvershootTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("whole", 0, 1, 0.9, 1.1),
            ("half_cut_off", 4, 1, 1.0, 1.6),
            ("all_cut_off", 8, 1, 0.9, 1.3),
            ("two_homes", 0, 2, 1.8, 2.2),
        ]
    )
    def test_flood(
        self, _name: str, cut_off: int, homes: int, least: float, most: float
    ) -> None:
        ceiling = Ceiling(requests_per_s=RATE)
        passed = run_flood(plan(cut_off, homes), 1, Amount(1.0, 0.0), ceiling)
        split = Split(homes=homes, cut_off=cut_off, sharers=ROUTERS // homes)
        self.assertLessEqual(passed, admitted_bound(RATE, PERIOD_S, 1.0, split))
        share = passed / (RATE * PERIOD_S)
        self.assertTrue(least <= share <= most, share)

    def test_without_shares_the_bound_breaks(self) -> None:
        ceiling = Ceiling(requests_per_s=RATE)
        with mock.patch.object(Ceiling, "share", lambda self, _parts: self):
            passed = run_flood(plan(ROUTERS, 1), 1, Amount(1.0, 0.0), ceiling)
        split = Split(cut_off=ROUTERS, sharers=ROUTERS)
        self.assertGreater(passed, admitted_bound(RATE, PERIOD_S, 1.0, split))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.integers(0, 2**32),
        st.lists(
            st.lists(st.sampled_from("AAAB-"), min_size=30, max_size=30),
            min_size=1,
            max_size=6,
        ),
        st.sampled_from([Amount(1.0, 0.0), Amount(0.0, 3.0), Amount(0.0, 40.0)]),
    )
    def test_bound_over_any_split(
        self, seed: int, reached: list[list[str]], cost: Amount
    ) -> None:
        homes_by_name = {"A": CeilingHome(), "B": CeilingHome(), "-": None}
        home_of = [[homes_by_name[each] for each in row] for row in reached]
        ceiling = Ceiling(RATE, RATE)
        passed = run_flood(home_of, seed, cost, ceiling)
        need = max(cost.requests, cost.tokens)
        split = Split(
            homes=len({name for row in reached for name in row} - {"-"}),
            cut_off=sum("-" in row for row in reached),
            sharers=shares_module.MIN_SHARERS,
        )
        self.assertLessEqual(passed, admitted_bound(RATE, PERIOD_S, need, split))


class ShareTests(unittest.TestCase):
    def test_refusal_is_kept_until_its_time(self) -> None:
        home, router = CeilingHome(), Router("r")
        ceiling = Ceiling(requests_per_s=0.5)
        cost = Amount(1.0, 0.0)
        self.assertEqual(router.request(home, ceiling, cost, 0.0), Admit())
        verdict = router.request(home, ceiling, cost, 0.1)
        assert isinstance(verdict, Refuse)
        self.assertAlmostEqual(verdict.retry_at, 1.0, places=3)
        for now in (0.2, 0.5, 0.9):
            self.assertEqual(router.request(home, ceiling, cost, now), verdict)
        self.assertEqual(router.asks, 2)
        self.assertEqual(router.request(home, ceiling, cost, 1.01), Admit())

    @parameterized.expand([("valid", 0.5, 2.0), ("expired", 1.5, 0.0)])
    def test_rest_of_a_lease(self, _name: str, now: float, returned: float) -> None:
        router = RouterShares()
        ceiling = Ceiling(requests_per_s=RATE)
        need = Amount(1.0)
        ask = Ask(need, Amount(2.0), Amount())
        grant = Grant(Amount(3.0), 1.0, None, 1)
        self.assertEqual(router.grant(NAME, need, ask, grant, 0.0), Admit())
        verdict = router.admit(NAME, ceiling, Amount(3.0), now)
        assert isinstance(verdict, Ask)
        self.assertEqual(verdict.returned, Amount(returned))

    def test_home_takes_back_what_is_left(self) -> None:
        bucket = Bucket(Ceiling(requests_per_s=RATE), 0.0)
        bucket.take(Amount(8.0))
        bucket.give_back(Amount(3.0), 0.0)
        self.assertEqual(bucket.free(0.0).requests, 5.0)
        bucket.give_back(Amount(30.0), 0.0)
        self.assertEqual(bucket.free(0.0).requests, RATE)

    def test_answers_are_paid_for(self) -> None:
        home, router = CeilingHome(), Router("r")
        ceiling = Ceiling(tokens_per_s=100.0)
        cost = Amount(1.0, 10.0)
        self.assertEqual(router.request(home, ceiling, cost, 0.0), Admit())
        router.shares.settle(NAME, 500, 0.1)
        self.assertEqual(router.request(home, ceiling, cost, 2.0), Admit())
        verdict = router.request(home, ceiling, cost, 2.1)
        assert isinstance(verdict, Refuse)
        self.assertAlmostEqual(verdict.retry_at, 2.0 + 410 / 100, delta=0.01)

    def test_few_asks_when_busy(self) -> None:
        home, router = CeilingHome(), Router("r")
        ceiling = Ceiling(requests_per_s=1000.0)
        for tick in range(1000):
            router.request(home, ceiling, Amount(1.0, 0.0), tick / 100)
        self.assertLess(router.asks, 150)

    def test_higher_revision_wins(self) -> None:
        home = CeilingHome()
        ask = LeaseAsk("r", NAME, 2, Ceiling(1.0), Amount(5.0), Amount())
        home.lease(ask, 0.0)
        stale = replace(ask, revision=1, ceiling=Ceiling(1000.0))
        self.assertIsNotNone(home.lease(stale, 0.1).retry_at)

    def test_idle_organisations_take_no_memory(self) -> None:
        home, shares = CeilingHome(), RouterShares()
        ceiling = Ceiling(requests_per_s=1.0)
        for index in range(49_000):
            now = index / 100
            name = f"o{index}"
            ask = shares.admit(name, ceiling, Amount(1.0), now)
            assert isinstance(ask, Ask)
            home.lease(LeaseAsk("r", name, 1, ceiling, ask.need, ask.wish), now)
        self.assertLess(len(home), 4_200)
        self.assertLess(len(shares), 7_200)
        shares.admit("late", ceiling, Amount(1.0), 1e6)
        home.lease(LeaseAsk("r", "late", 1, ceiling, Amount(1.0), Amount()), 1e6)
        self.assertEqual((len(home), len(shares)), (1, 1))
