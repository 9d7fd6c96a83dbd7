"""Tests of the permits for endpoints that name a limit, in simulated time."""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.limits.endpoint_permits import (
    AVOID_HOME_S,
    LEFTOVER,
    Permit,
    PermitHomes,
    PermitIssuer,
    PermitRequest,
    permit_priority,
    ranked_homes,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ENDPOINT = b"engine"
PERIOD_S = 30.0
WINDOW_S = 4.0
# What the endpoint bears in one window: one and a half times its limit, and 5 requests.
TOLERANCE = 1.5
TOLERATED_REQUESTS = 5
URGENT, ORDINARY = 0, 1


class Nodes:
    """Drive the permits of nodes that all want to send to one endpoint."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.nodes = frozenset(Address(f"10.0.0.{n}", 1) for n in range(count))
        self.home = ranked_homes(ENDPOINT, self.nodes)[0]
        self.issuers_by_node = {each: PermitIssuer() for each in self.nodes}
        self._homes_by_node = {each: PermitHomes() for each in self.nodes}
        self.sent_at: list[float] = []
        self.sent_by_priority: Counter[int] = Counter()

    def run(
        self,
        limit_at: Callable[[float], float],
        requests_per_s: float,
        reaches: Callable[[Address, Address, float], bool] = lambda *_: True,
        urgent_share: float = 0.5,
    ) -> None:
        """Let requests arrive at random nodes for the period."""
        now = 0.0
        ordered = sorted(self.nodes, key=str)
        while now < PERIOD_S:
            now += self.rng.expovariate(requests_per_s)
            node = self.rng.choice(ordered)
            priority = URGENT if self.rng.random() < urgent_share else ORDINARY
            request = PermitRequest(ENDPOINT, limit_at(now), priority)
            if self._is_granted(node, request, now, reaches):
                self.sent_at.append(now)
                self.sent_by_priority[priority] += 1

    def _is_granted(
        self,
        node: Address,
        request: PermitRequest,
        now: float,
        reaches: Callable[[Address, Address, float], bool],
    ) -> bool:
        homes = self._homes_by_node[node]
        if homes.refused_until(ENDPOINT, request.priority, now) is not None:
            return False
        for home in homes.to_ask(ENDPOINT, self.nodes, now):
            if not reaches(node, home, now):
                homes.note_unreachable(home, now)
                continue
            issuer = self.issuers_by_node[home]
            permit = issuer.ask(request, home == self.home, now)
            if not permit.granted:
                homes.note_refusal(request, permit)
            return permit.granted
        return False

    def most_in_window(self, since: float = 0.0) -> int:
        """Return the most requests in a window that begins after a time."""
        times = [each for each in self.sent_at if each >= since]
        return max(
            (sum(at <= each < at + WINDOW_S for each in times) for at in times),
            default=0,
        )

    def sent_per_s(self, since: float, until: float) -> float:
        """Return the mean rate of the requests between two times."""
        count = sum(since <= each < until for each in self.sent_at)
        return count / (until - since)


def allowed_in_window(limit_per_s: float) -> float:
    """Return the number of requests that an endpoint bears in one window."""
    return TOLERANCE * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


class SharedLimitTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("4_nodes", 4, 2.0, 50.0),
            ("390_nodes", 390, 2.0, 570.0),
            ("4_nodes_low_limit", 4, 0.3, 50.0),
            ("390_nodes_high_limit", 390, 40.0, 570.0),
        ]
    )
    def test_limit_is_kept_and_used(
        self, _name: str, count: int, limit: float, requests_per_s: float
    ) -> None:
        nodes = Nodes(count)
        nodes.run(lambda _now: limit, requests_per_s)
        self.assertLessEqual(nodes.most_in_window(), allowed_in_window(limit))
        self.assertGreaterEqual(nodes.sent_per_s(4.0, PERIOD_S), 0.85 * limit)

    @parameterized.expand([("4_nodes", 4), ("390_nodes", 390)])
    def test_limit_is_kept_and_partly_used_without_its_home(
        self, _name: str, count: int
    ) -> None:
        nodes = Nodes(count)
        nodes.run(
            lambda _now: 2.0,
            100.0,
            lambda _node, home, now: home != nodes.home or now < 10.0,
        )
        self.assertLessEqual(nodes.most_in_window(), allowed_in_window(2.0))
        self.assertGreaterEqual(nodes.sent_per_s(15.0, PERIOD_S), 0.4 * 2.0)

    @parameterized.expand([("4_nodes", 4), ("390_nodes", 390)])
    def test_limit_is_kept_while_only_some_nodes_reach_its_home(
        self, _name: str, count: int
    ) -> None:
        nodes = Nodes(count)
        ordered = sorted(nodes.nodes, key=str)
        side = set(ordered[: count // 2])
        nodes.run(
            lambda _now: 4.0,
            100.0,
            lambda node, home, now: (node in side) == (home in side) or now > 20.0,
        )
        self.assertLessEqual(nodes.most_in_window(), allowed_in_window(4.0))
        self.assertGreaterEqual(nodes.sent_per_s(2.0, 20.0), 0.85 * 4.0)

    def test_lower_limit_is_kept_from_the_next_window_on(self) -> None:
        nodes = Nodes(4)
        nodes.run(lambda now: 10.0 if now < 15.0 else 1.0, 50.0)
        self.assertLessEqual(nodes.most_in_window(15.0), allowed_in_window(1.0))

    def test_endpoint_that_takes_nothing_is_still_asked_now_and_then(self) -> None:
        nodes = Nodes(390)
        nodes.run(lambda _now: 0.0, 50.0)
        self.assertLessEqual(nodes.most_in_window(), allowed_in_window(0.0))
        self.assertGreaterEqual(len(nodes.sent_at), 2)

    def test_urgent_requests_come_first_and_others_do_not_starve(self) -> None:
        nodes = Nodes(4)
        nodes.run(lambda _now: 4.0, 20.0)
        urgent = nodes.sent_by_priority[URGENT]
        ordinary = nodes.sent_by_priority[ORDINARY]
        self.assertGreater(urgent, 1.2 * ordinary)
        self.assertGreater(ordinary, 0.1 * urgent)

    @parameterized.expand([("scarce", 10.0, 0.05), ("plenty", 1.0, 0.7)])
    def test_requests_that_can_go_elsewhere_get_what_is_left(
        self, _name: str, others_per_s: float, share: float
    ) -> None:
        issuer = PermitIssuer()
        rng = random.Random(1)
        granted = asked = 0
        now = 0.0
        while now < PERIOD_S:
            now += rng.expovariate(others_per_s + 1.0)
            leftover = rng.random() < 1.0 / (others_per_s + 1.0)
            priority = LEFTOVER if leftover else ORDINARY
            permit = issuer.ask(PermitRequest(ENDPOINT, 4.0, priority), True, now)
            asked += leftover
            granted += leftover and permit.granted
        if share < 0.5:
            self.assertLessEqual(granted, share * asked)
        else:
            self.assertGreaterEqual(granted, share * asked)


class HomeTests(unittest.TestCase):
    def test_node_that_did_not_answer_is_asked_again_later(self) -> None:
        nodes = frozenset(Address(f"10.0.0.{n}", 1) for n in range(8))
        homes = PermitHomes()
        first, second, *_others = homes.to_ask(ENDPOINT, nodes, 0.0)
        homes.note_unreachable(first, 0.0)
        self.assertEqual(homes.to_ask(ENDPOINT, nodes, 1.0)[0], second)
        self.assertEqual(homes.to_ask(ENDPOINT, nodes, AVOID_HOME_S)[0], first)

    def test_refusal_holds_for_its_priority_until_it_expires(self) -> None:
        homes = PermitHomes()
        request = PermitRequest(ENDPOINT, 2.0, ORDINARY)
        homes.note_refusal(request, Permit(False, 1.5))
        self.assertEqual(homes.refused_until(ENDPOINT, ORDINARY, 1.0), 1.5)
        self.assertIsNone(homes.refused_until(ENDPOINT, URGENT, 1.0))
        self.assertIsNone(homes.refused_until(ENDPOINT, ORDINARY, 1.5))

    def test_account_of_an_endpoint_without_requests_is_dropped(self) -> None:
        issuer = PermitIssuer()
        issuer.ask(PermitRequest(b"first", 2.0, URGENT), True, 0.0)
        issuer.ask(PermitRequest(b"other", 2.0, URGENT), True, 60.0)
        self.assertEqual(len(issuer), 1)


class PermitPriorityTests(unittest.TestCase):
    # The priority of requests of urgency 1 with an objective of 0.4 s.
    @parameterized.expand(
        [
            ("long_prompt", False, 0.0, 1),
            ("short_prompt_with_room_elsewhere", True, 0.02, None),
            ("short_prompt_that_waits_elsewhere", True, 0.2, LEFTOVER),
            ("short_prompt_late_elsewhere", True, 0.5, LEFTOVER),
            ("short_prompt_without_another_endpoint", True, math.inf, 1),
        ]
    )
    def test_short_prompts_leave_permits_to_long_ones(
        self, _name: str, is_short: bool, wait_s: float, priority: int | None
    ) -> None:
        self.assertEqual(permit_priority(1, is_short, 0.4, wait_s), priority)
