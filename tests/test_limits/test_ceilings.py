"""Tests of leases, local shares and the bound on what a ceiling admits."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.limits import router_leases as router_leases_module
from agatehoist.limits.bounds import PartitionFaults, admitted_bound
from agatehoist.limits.bucket import Bucket
from agatehoist.limits.lease_issuer import LeaseIssuer
from agatehoist.limits.router_leases import LeaseNeeded, RouterLeases
from agatehoist.limits.types import (
    Admit,
    Amount,
    Ceiling,
    Grant,
    LeaseRequestBody,
    Refuse,
    Verdict,
)

ORGANISATION = "archive"
RATE_PER_S = 10.0
PERIOD_S = 30.0
ROUTER_COUNT = 8


class Router:
    """Drive the leases of one router against a home in simulated time."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.leases = RouterLeases()
        self.lease_requests = 0

    def request(
        self, home: LeaseIssuer | None, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict:
        """Return the verdict on a request; home is None if it can't be reached."""
        verdict = self.leases.admit(ORGANISATION, ceiling, cost, now)
        if not isinstance(verdict, LeaseNeeded):
            return verdict
        self.lease_requests += 1
        if home is None:
            return self.leases.admit_without_home(ORGANISATION, ceiling, cost, now)
        body = LeaseRequestBody(
            self.name,
            ORGANISATION,
            1,
            ceiling,
            verdict.need,
            verdict.wish,
            verdict.returned,
        )
        grant = home.lease(body, now)
        return self.leases.grant(ORGANISATION, cost, verdict, grant, now)


def admit_at_random_routers(
    homes_by_router_and_second: list[list[LeaseIssuer | None]],
    seed: int,
    cost: Amount,
    ceiling: Ceiling,
) -> float:
    """Return the amount admitted of 100 requests per second to random routers.

    The home of a router is given for each second.
    """
    rng = random.Random(seed)
    routers = [
        Router(f"router-{index}") for index in range(len(homes_by_router_and_second))
    ]
    admitted = 0
    for tick in range(int(PERIOD_S * 100)):
        now = tick / 100
        index = rng.randrange(len(routers))
        home = homes_by_router_and_second[index][int(now)]
        verdict = routers[index].request(home, ceiling, cost, now)
        admitted += isinstance(verdict, Admit)
    return admitted * max(cost.requests, cost.tokens)


def homes_by_router(cut_off: int, homes: int) -> list[list[LeaseIssuer | None]]:
    """Return the homes by router and second; some are cut off after 3 seconds."""
    choices = [LeaseIssuer() for _ in range(homes)]
    seconds = int(PERIOD_S)
    lists: list[list[LeaseIssuer | None]] = []
    for index in range(ROUTER_COUNT):
        home = choices[index % homes]
        after: LeaseIssuer | None = None if index < cut_off else home
        lists.append([home] * 3 + [after] * (seconds - 3))
    return lists


class AdmittedBoundTests(unittest.TestCase):
    @parameterized.expand(
        [
            # "whole": no partition.
            ("whole", 0, 1, 0.9, 1.1),
            ("half_cut_off", 4, 1, 1.0, 1.6),
            ("all_cut_off", 8, 1, 0.9, 1.3),
            ("two_homes", 0, 2, 1.8, 2.2),
        ]
    )
    def test_admitted_requests_stay_under_the_bound(
        self, _name: str, cut_off: int, homes: int, min_ratio: float, max_ratio: float
    ) -> None:
        ceiling = Ceiling(requests_per_s=RATE_PER_S)
        admitted = admit_at_random_routers(
            homes_by_router(cut_off, homes), 1, Amount(1.0, 0.0), ceiling
        )
        faults = PartitionFaults(
            homes=homes, cut_off=cut_off, sharers=ROUTER_COUNT // homes
        )
        self.assertLessEqual(
            admitted, admitted_bound(RATE_PER_S, PERIOD_S, 1.0, faults)
        )
        admitted_ratio = admitted / (RATE_PER_S * PERIOD_S)
        self.assertTrue(min_ratio <= admitted_ratio <= max_ratio, admitted_ratio)

    def test_bound_is_exceeded_without_local_shares(self) -> None:
        ceiling = Ceiling(requests_per_s=RATE_PER_S)
        with mock.patch.object(Ceiling, "share", lambda self, _parts: self):
            admitted = admit_at_random_routers(
                homes_by_router(ROUTER_COUNT, 1), 1, Amount(1.0, 0.0), ceiling
            )
        faults = PartitionFaults(cut_off=ROUTER_COUNT, sharers=ROUTER_COUNT)
        self.assertGreater(admitted, admitted_bound(RATE_PER_S, PERIOD_S, 1.0, faults))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.integers(0, 2**32),
        st.lists(
            # The home that a router reaches in each second: A (3 of 5), B or none.
            st.lists(st.sampled_from("AAAB-"), min_size=30, max_size=30),
            min_size=1,
            max_size=6,
        ),
        st.sampled_from([Amount(1.0, 0.0), Amount(0.0, 3.0), Amount(0.0, 40.0)]),
    )
    def test_bound_holds_over_any_partition(
        self, seed: int, reached: list[list[str]], cost: Amount
    ) -> None:
        homes_by_name = {"A": LeaseIssuer(), "B": LeaseIssuer(), "-": None}
        homes_by_router_and_second = [
            [homes_by_name[each] for each in row] for row in reached
        ]
        ceiling = Ceiling(RATE_PER_S, RATE_PER_S)
        admitted = admit_at_random_routers(
            homes_by_router_and_second, seed, cost, ceiling
        )
        need = max(cost.requests, cost.tokens)
        faults = PartitionFaults(
            homes=len({name for row in reached for name in row} - {"-"}),
            cut_off=sum("-" in row for row in reached),
            sharers=router_leases_module.MIN_SHARERS,
        )
        self.assertLessEqual(
            admitted, admitted_bound(RATE_PER_S, PERIOD_S, need, faults)
        )


class LeaseTests(unittest.TestCase):
    def test_refusal_is_repeated_until_its_retry_time(self) -> None:
        home, router = LeaseIssuer(), Router("r")
        ceiling = Ceiling(requests_per_s=0.5)
        cost = Amount(1.0, 0.0)
        self.assertEqual(router.request(home, ceiling, cost, 0.0), Admit())
        verdict = router.request(home, ceiling, cost, 0.1)
        assert isinstance(verdict, Refuse)
        self.assertAlmostEqual(verdict.retry_at, 1.0, places=3)
        for now in (0.2, 0.5, 0.9):
            self.assertEqual(router.request(home, ceiling, cost, now), verdict)
        self.assertEqual(router.lease_requests, 2)
        self.assertEqual(router.request(home, ceiling, cost, 1.01), Admit())

    @parameterized.expand([("valid", 0.5, 2.0), ("expired", 1.5, 0.0)])
    def test_unused_lease_is_returned_unless_expired(
        self, _name: str, now: float, returned: float
    ) -> None:
        router = RouterLeases()
        ceiling = Ceiling(requests_per_s=RATE_PER_S)
        need = Amount(1.0)
        needed = LeaseNeeded(need, Amount(2.0), Amount())
        grant = Grant(Amount(3.0), 1.0, None, 1)
        self.assertEqual(router.grant(ORGANISATION, need, needed, grant, 0.0), Admit())
        verdict = router.admit(ORGANISATION, ceiling, Amount(3.0), now)
        assert isinstance(verdict, LeaseNeeded)
        self.assertEqual(verdict.returned, Amount(returned))

    def test_bucket_takes_refunds_up_to_one_burst(self) -> None:
        bucket = Bucket(Ceiling(requests_per_s=RATE_PER_S), 0.0)
        bucket.take(Amount(8.0))
        bucket.refund(Amount(3.0), 0.0)
        self.assertEqual(bucket.available(0.0).requests, 5.0)
        bucket.refund(Amount(30.0), 0.0)
        self.assertEqual(bucket.available(0.0).requests, RATE_PER_S)

    def test_answer_tokens_are_charged_to_the_next_request(self) -> None:
        home, router = LeaseIssuer(), Router("r")
        ceiling = Ceiling(tokens_per_s=100.0)
        cost = Amount(1.0, 10.0)
        self.assertEqual(router.request(home, ceiling, cost, 0.0), Admit())
        router.leases.count_answer_tokens(ORGANISATION, 500, 0.1)
        self.assertEqual(router.request(home, ceiling, cost, 2.0), Admit())
        verdict = router.request(home, ceiling, cost, 2.1)
        assert isinstance(verdict, Refuse)
        self.assertAlmostEqual(verdict.retry_at, 2.0 + 410 / 100, delta=0.01)

    def test_busy_router_requests_far_fewer_leases_than_it_has_requests(self) -> None:
        home, router = LeaseIssuer(), Router("r")
        ceiling = Ceiling(requests_per_s=1000.0)
        for tick in range(1000):
            router.request(home, ceiling, Amount(1.0, 0.0), tick / 100)
        # Of 1000 requests in 10 s.
        self.assertLess(router.lease_requests, 150)

    def test_older_revision_does_not_replace_the_ceiling(self) -> None:
        home = LeaseIssuer()
        body = LeaseRequestBody(
            "r", ORGANISATION, 2, Ceiling(1.0), Amount(5.0), Amount()
        )
        home.lease(body, 0.0)
        stale = replace(body, revision=1, ceiling=Ceiling(1000.0))
        self.assertIsNotNone(home.lease(stale, 0.1).retry_at)

    def test_idle_organisations_are_removed(self) -> None:
        home, leases = LeaseIssuer(), RouterLeases()
        ceiling = Ceiling(requests_per_s=1.0)
        for index in range(49_000):
            now = index / 100
            name = f"o{index}"
            needed = leases.admit(name, ceiling, Amount(1.0), now)
            assert isinstance(needed, LeaseNeeded)
            home.lease(
                LeaseRequestBody("r", name, 1, ceiling, needed.need, needed.wish), now
            )
        # 100 new organisations per second; the home keeps each for up to 30 + 10 s, the
        # router for up to 60 + 10 s (retention time and interval of the sweeps).
        self.assertLess(len(home), 4_200)
        self.assertLess(len(leases), 7_200)
        leases.admit("late", ceiling, Amount(1.0), 1e6)
        home.lease(
            LeaseRequestBody("r", "late", 1, ceiling, Amount(1.0), Amount()), 1e6
        )
        self.assertEqual((len(home), len(leases)), (1, 1))
