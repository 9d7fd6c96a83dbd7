"""Tests of allotments that gateways share, against one bucket for all of them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.core.registry import Registry
from agatehoist.limits.allotment_leases import RETENTION_S, AllotmentLeases, AskNeeded
from agatehoist.limits.allotment_node import AllotmentNode, AskBatch
from agatehoist.limits.allotments import (
    AllotmentGrant,
    Terms,
    request_cost,
    terms_of,
)
from agatehoist.limits.types import Admit, Allotment, AllotmentUnit
from agatehoist.routing.types import Prompt
from tests.test_limits.allotment_simulation import (
    BOUNDS,
    ORGANISATION,
    Gateways,
    allowed_in_window,
    used_by_one_bucket,
)

if TYPE_CHECKING:
    from collections.abc import Callable

BIG = Terms(1, 350_000.0, 400_000.0)
SMALL = Terms(1, 40_000.0, 60_000.0)
COUNT = 25
START_S = 0.5
END_S = 22.0
# Part of the bound that may be used at most, so that there is room for requests that
# wait after they were charged.
ROOM = 0.95

# Troubles between seconds 8 and 14.
TROUBLES: Registry[Callable[[Gateways], None]] = Registry("trouble of gateways")


def during(now: float) -> bool:
    """Return whether a trouble goes on at a time."""
    return 8.0 < now < 14.0


@TROUBLES.register("none")
def _none(_gateways: Gateways) -> None:
    pass


@TROUBLES.register("all_killed")
def _kill_all(gateways: Gateways) -> None:
    for index in range(COUNT):
        gateways.at(8.0 + gateways.rng.random() * 0.1, gateways.start, index)


@TROUBLES.register("all_killed_three_times")
def _kill_all_again(gateways: Gateways) -> None:
    for at in (8.0, 10.0, 12.0):
        for index in range(COUNT):
            gateways.at(at, gateways.start, index)


@TROUBLES.register("home_killed")
def _kill_home(gateways: Gateways) -> None:
    gateways.at(8.0, gateways.stop, gateways.home)
    gateways.at(12.0, gateways.start, gateways.home)


@TROUBLES.register("half_killed")
def _kill_half(gateways: Gateways) -> None:
    for index in range(0, COUNT, 2):
        gateways.at(8.0, gateways.stop, index)
        gateways.at(14.0, gateways.start, index)


@TROUBLES.register("halves_partitioned")
def _partition(gateways: Gateways) -> None:
    half = COUNT // 2
    gateways.reaches = lambda a, b, now: not during(now) or (a < half) == (b < half)


@TROUBLES.register("home_hears_nothing")
def _deaf_home(gateways: Gateways) -> None:
    gateways.reaches = lambda _a, b, now: not during(now) or b != gateways.home


@TROUBLES.register("half_hear_nothing")
def _deaf_half(gateways: Gateways) -> None:
    gateways.reaches = lambda _a, b, now: not during(now) or b % 2 == 0


@TROUBLES.register("no_message_arrives")
def _no_messages(gateways: Gateways) -> None:
    gateways.reaches = lambda _a, _b, now: not during(now)


@TROUBLES.register("home_frozen")
def _freeze_home(gateways: Gateways) -> None:
    gateways.frozen[gateways.home] = (8.0, 12.0)


@TROUBLES.register("half_frozen")
def _freeze_half(gateways: Gateways) -> None:
    for index in range(0, COUNT, 2):
        gateways.frozen[index] = (8.0, 12.0)


@TROUBLES.register("a_tenth_of_messages_lost")
def _lose_messages(gateways: Gateways) -> None:
    gateways.reaches = lambda _a, _b, _now: gateways.rng.random() > 0.1


def played(
    terms: Terms,
    load: Callable[[float], float],
    trouble: str = "none",
    pick: Callable[[Gateways, float], int] = lambda g, _now: g.rng.randrange(COUNT),
) -> Gateways:
    """Return gateways that have served a load, relative to the rate."""
    gateways = Gateways(COUNT, terms)
    TROUBLES[trouble](gateways)
    gateways.now = START_S
    gateways.send_load(
        lambda now: load(now) * terms.rate_per_s,
        END_S,
        lambda now: pick(gateways, now),
    )
    gateways.run(END_S)
    return gateways


class BoundTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{trouble}_{name}", trouble, terms)
            for trouble in TROUBLES
            for name, terms in (("big", BIG), ("small", SMALL))
        ]
    )
    def test_organisation_far_over_its_allotment_stays_within_the_bound(
        self, _name: str, trouble: str, terms: Terms
    ) -> None:
        # Idle gateways have full buckets when the load comes.
        gateways = played(terms, lambda now: 0.2 if now < 5 else 5.0, trouble)
        most = gateways.most_in_window()
        self.assertLessEqual(most, ROOM * allowed_in_window(terms))
        self.assertLessEqual(max(gateways.waits), 0.11)

    # The last case exceeded the bound while an unlisted gateway assumed 64 others.
    @parameterized.expand(
        [
            ("within_0_3_s", 0.3, COUNT, BIG, 1, ROOM),
            ("within_2_s", 2.0, COUNT, BIG, 1, ROOM),
            ("within_2_s_many_gateways", 2.0, 68, SMALL, 5, 1.0),
        ]
    )
    def test_fleet_whose_gateways_list_each_other_late_stays_within_the_bound(
        self,
        _name: str,
        spread_s: float,
        count: int,
        terms: Terms,
        seed: int,
        room: float,
    ) -> None:
        gateways = Gateways(count, terms, seed)
        listed_at = [gateways.rng.random() * spread_s for _ in range(count)]

        # Each registers and reads the list every half second from then on.
        def listed(index: int, now: float) -> frozenset[Address]:
            if now < listed_at[index]:
                return frozenset()
            read_at = now - (now - listed_at[index]) % 0.5
            pairs = zip(gateways.addresses, listed_at, strict=True)
            return frozenset(each for each, at in pairs if at <= read_at + 1e-6)

        gateways.listed = listed
        gateways.now = 0.1
        pick = gateways.rng.randrange
        gateways.send_load(
            lambda _now: 7 * terms.rate_per_s, 10.0, lambda _now: pick(count)
        )
        gateways.run(10.0)
        self.assertLessEqual(gateways.most_in_window(), room * allowed_in_window(terms))

    @parameterized.expand([("halved", 0.5), ("raised", 2.0)])
    def test_changed_allotment_binds_although_a_gateway_has_the_old_one(
        self, _name: str, factor: float
    ) -> None:
        changed = Terms(2, factor * BIG.rate_per_s, factor * BIG.burst)
        gateways = Gateways(COUNT, BIG)
        # The table reaches gateways within a second, the last one never.
        gateways.terms_at = lambda n, now: (
            changed if now > 8.0 + n / COUNT and n != COUNT - 1 else BIG
        )
        gateways.now = START_S
        load = 3 * max(changed.rate_per_s, BIG.rate_per_s)
        pick = gateways.rng.randrange
        gateways.send_load(lambda _now: load, END_S, lambda _now: pick(COUNT))
        gateways.run(END_S)
        self.assertLessEqual(
            gateways.most_in_window(9.1), ROOM * allowed_in_window(changed)
        )
        used = gateways.used_between(10.0, END_S) / (END_S - 10.0)
        self.assertGreaterEqual(used, 0.95 * changed.rate_per_s)


class UseTests(unittest.TestCase):
    # The least part that is admitted of what one bucket for all would admit. Without
    # its home a small organisation has the shares of the gateways that it has used.
    @parameterized.expand(
        [
            ("none", 0.9, 0.98),
            ("none", 3.0, 0.97),
            ("all_killed", 0.9, 0.95),
            ("home_killed", 0.9, 0.95),
            ("home_frozen", 0.9, 0.95),
            ("a_tenth_of_messages_lost", 0.9, 0.95),
            ("halves_partitioned", 0.9, 0.9),
        ]
    )
    def test_allotment_is_used(self, trouble: str, load: float, least: float) -> None:
        gateways = played(BIG, lambda _now: load, trouble)
        used = gateways.used_between(0.0, END_S)
        self.assertGreaterEqual(used, least * used_by_one_bucket(gateways.asked, BIG))

    @parameterized.expand(
        [
            ("one_gateway", lambda _g, _now: 3),
            ("gateways_in_turn", lambda _g, now: int(now / 4) % COUNT),
            ("other_data_centre", lambda g, now: g.rng.randrange(8) + int(now / 4) % 2),
        ]
    )
    def test_load_on_gateways_that_have_not_had_it_is_not_refused(
        self, _name: str, pick: Callable[[Gateways, float], int]
    ) -> None:
        gateways = played(SMALL, lambda _now: 0.6, pick=pick)
        refused = len(gateways.asked) - len(gateways.used)
        self.assertLessEqual(refused, 0.01 * len(gateways.asked))

    # Gateways that were stopped return at the same address, and learn later than others
    # that they are listed again.
    @parameterized.expand([("home", 1, 0.97), ("one_after_another", 8, 0.95)])
    def test_gateways_that_return_do_not_reduce_what_others_may_use(
        self, _name: str, stopped: int, least: float
    ) -> None:
        gateways = Gateways(COUNT, BIG)
        delays = [gateways.rng.random() for _ in range(COUNT)]
        absences = {}
        for n in range(stopped):
            index, since = (gateways.home + n) % COUNT, 8.0 + 2 * n
            absences[gateways.addresses[index]] = (since + 0.5, since + 4.5)
            gateways.at(since, gateways.stop, index)
            gateways.at(since + 4.0, gateways.start, index)

        def listed(index: int, now: float) -> frozenset[Address]:
            read_at = now - delays[index]
            away = {a for a, (x, y) in absences.items() if x <= read_at < y}
            return frozenset(gateways.addresses) - away

        gateways.listed = listed
        gateways.now = START_S
        pick = gateways.rng.randrange
        gateways.send_load(
            lambda _now: 0.9 * BIG.rate_per_s, 30.0, lambda _now: pick(COUNT)
        )
        gateways.run(30.0)
        used = gateways.used_between(0.0, 30.0)
        self.assertGreaterEqual(used, least * used_by_one_bucket(gateways.asked, BIG))

    def test_shares_of_gateways_that_are_listed_no_more_are_used(self) -> None:
        gateways = Gateways(COUNT, BIG)
        kept = frozenset(gateways.addresses[::2])
        delays = [gateways.rng.random() for _ in range(COUNT)]
        gateways.listed = lambda index, now: (
            kept if now > 6.0 + delays[index] else frozenset(gateways.addresses)
        )
        for index in range(1, COUNT, 2):
            gateways.at(5.0, gateways.stop, index)
        gateways.now = START_S
        pick = gateways.rng.randrange
        gateways.send_load(
            lambda _now: 0.9 * BIG.rate_per_s, 26.0, lambda _now: 2 * pick(COUNT // 2)
        )
        gateways.run(26.0)
        used, asked = (
            each(20.0, 26.0) for each in (gateways.used_between, gateways.asked_between)
        )
        self.assertGreaterEqual(used, 0.95 * asked)

    def test_cold_start_refuses_nothing_below_the_allotment(self) -> None:
        gateways = Gateways(COUNT, SMALL)
        for index in range(COUNT):
            gateways.at(0.5, gateways.request, index, 884.0)
        gateways.run(2.0)
        self.assertEqual(len(gateways.used), COUNT)

    def test_large_requests_do_not_starve_beside_small_ones(self) -> None:
        gateways = played(SMALL, lambda _now: 3.0)
        large = [cost for _at, cost in gateways.asked if cost > 1000]
        served = [cost for _at, cost in gateways.used if cost > 1000]
        share = len(gateways.used) / len(gateways.asked)
        self.assertGreaterEqual(len(served) / len(large), 0.8 * share)


class NodeCountTests(unittest.TestCase):
    # Case, whether the first gateway is listed when it starts.
    @parameterized.expand([("listed", True), ("not_listed_yet", False)])
    def test_count_assumed_at_a_start_does_not_spread(
        self, _name: str, is_listed: bool
    ) -> None:
        addresses = tuple(Address("10.0.0.1", port) for port in range(1, 6))
        terms = Terms(1, 1000.0, 1000.0)
        nodes_by_address = {
            each: AllotmentNode(each, BOUNDS, 1, lambda _home, _is_reachable: None)
            for each in addresses
        }
        for address, node in nodes_by_address.items():
            all_listed = is_listed or address != addresses[0]
            node.set_nodes(frozenset(addresses) if all_listed else frozenset())
            node.set_table({b"organisation": terms, b"another": terms}, 1)
        for tick in range(4 * 15):
            now = tick / 4
            if tick == 4:
                nodes_by_address[addresses[0]].set_nodes(frozenset(addresses))
            for node in nodes_by_address.values():
                node.tick(now)
            for node in nodes_by_address.values():
                outbox, node.outbox = node.outbox, []
                for destination, batch in outbox:
                    if isinstance(batch, AskBatch):
                        nodes_by_address[destination].receive_asks(batch, now, now)
                    else:
                        nodes_by_address[destination].receive_grants(batch, now)
        counts = {node.node_count(15.0) for node in nodes_by_address.values()}
        self.assertEqual(counts, {len(addresses)})


class RefundTests(unittest.TestCase):
    @parameterized.expand([("soon", 0.5, 100.0), ("late", 1.5, 0.0)])
    def test_amount_goes_back_to_the_home_and_is_not_used_beside_it(
        self, _name: str, after_s: float, returned: float
    ) -> None:
        leases = AllotmentLeases()
        leases.ask(ORGANISATION, SMALL, (100.0,), 0.0)
        leases.apply(AllotmentGrant(ORGANISATION, SMALL, 100.0), 0.0, 0.0, 0.0)
        self.assertEqual(leases.take(ORGANISATION, SMALL, 100.0, 0.0), Admit())
        leases.refund(ORGANISATION, 100.0, 0.0, after_s)
        taken = leases.take(ORGANISATION, SMALL, 100.0, after_s)
        self.assertIsInstance(taken, AskNeeded)
        ask = leases.ask(ORGANISATION, SMALL, (100.0,), after_s)
        self.assertEqual(ask.returned, returned)


class LeaseTests(unittest.TestCase):
    def test_refusal_that_is_answered_after_a_suspension_has_a_time_to_return(
        self,
    ) -> None:
        leases = AllotmentLeases()
        leases.ask(ORGANISATION, SMALL, (9200.0,), 0.0)
        leases.asks_ahead(RETENTION_S + 1.0)
        now = RETENTION_S + 2.0
        at = leases.retry_at(ORGANISATION, 9200.0, 1.0, 15.0, COUNT, 0.5, now)
        self.assertEqual(at, now)


class CostTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("prompt", AllotmentUnit.TOKENS, Prompt("m", (), 130, 5), 135.0),
            ("endless", AllotmentUnit.TOKENS, Prompt("m", (), 2**62, 2**62), 1000.0),
            ("no_prompt", AllotmentUnit.TOKENS, None, 700.0),
            ("requests", AllotmentUnit.REQUESTS, Prompt("m", (), 130, 5), 1.0),
        ]
    )
    def test_request_counts_in_the_unit(
        self, _name: str, unit: AllotmentUnit, prompt: Prompt | None, cost: float
    ) -> None:
        allotment = Allotment(100.0, 200.0, unit, 700)
        self.assertEqual(request_cost(allotment, prompt, BOUNDS), cost)

    def test_allotment_without_a_burst_admits_requests_at_its_rate(self) -> None:
        terms = terms_of(Allotment(20_000.0, 0.0), 1)
        gateways = played(terms, lambda _now: 3.0)
        used = gateways.used_between(START_S, END_S)
        self.assertGreaterEqual(used, 0.95 * terms.rate_per_s * (END_S - START_S))
        self.assertLessEqual(gateways.most_in_window(), ROOM * allowed_in_window(terms))

    def test_organisation_without_an_allotment_has_no_limit(self) -> None:
        self.assertEqual(terms_of(None, 3), Terms(3, 0.0, 0.0))
