"""Tests of the placement policies."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import Priority
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import MAX_PROBES, POLICIES
from agatehoist.placement.types import Candidate, Offer, PlacementRequest

HOSTS = tuple(Candidate(f"host-{index}", f"dc{index % 4}") for index in range(200))
IDENTITY = EndpointIdentity("s", "e", "1")
SALT = salt_for("archive", "songs-8b", "1")
PREAMBLE = "You answer for the archive. " * 150
PROBE_POLICIES = [("probe",), ("probe_latency",), ("probe_cache",)]


def request(*parts: str) -> PlacementRequest:
    levels = find_levels(parts, SALT)
    return PlacementRequest(levels, levels[-1].tokens, Priority.LONG, "dc0")


def offer(host: int, matched_tokens: int, ttft_estimate: float) -> Offer:
    return Offer(HOSTS[host], IDENTITY, matched_tokens, ttft_estimate)


BOOK = request(PREAMBLE, "A hymn in three languages. " * 3000, "who?")

# Case; policy; cached tokens and seconds to first token of an offer in another data
# centre; the same of an offer in the request's data centre; index of the first choice.
CHOICE_CASES = [
    ("idle_when_nothing_is_cached", "probe_latency", (0, 1.0), (0, 0.5), 1),
    ("cached_over_idle", "probe_latency", (20_000, 1.5), (0, 1.1), 0),
    ("idle_when_the_queue_is_long", "probe_latency", (20_000, 8.0), (0, 1.1), 1),
    ("cache_weighs_more", "probe_cache", (20_000, 8.0), (0, 1.1), 0),
    ("nearest_among_equals", "probe_latency", (0, 0.5), (0, 0.5), 1),
]


class ProbePolicyTests(unittest.TestCase):
    @parameterized.expand(PROBE_POLICIES)
    def test_prompts_with_a_shared_preamble_are_spread(self, name: str) -> None:
        policy = POLICIES[name]()
        first_candidates = set()
        for index in range(100):
            book = request(PREAMBLE, f"Songbook {index}. " * 900, "who?")
            first_candidates.add(policy.shortlist(book, HOSTS, random.Random(1))[0])
        self.assertGreater(len(first_candidates), 60)

    @parameterized.expand(PROBE_POLICIES)
    def test_shortlist_is_the_same_on_every_router(self, name: str) -> None:
        shortlisted = [
            POLICIES[name]().shortlist(BOOK, hosts, random.Random(seed))
            for seed, hosts in ((1, HOSTS), (2, HOSTS[::-1]))
        ]
        self.assertEqual(*shortlisted)

    @parameterized.expand([(1.2,), (1.9,), (2.1,)])
    def test_grown_prompt_keeps_a_shortlisted_host(self, growth: float) -> None:
        text = "She sang it at the cannery. " * 1500
        before = POLICIES["probe"]().shortlist(request(text), HOSTS, random.Random(1))
        grown = text + "And then? " * int(len(text) * (growth - 1) / 10)
        after = POLICIES["probe"]().shortlist(request(grown), HOSTS, random.Random(1))
        self.assertTrue(set(before) & set(after))

    @parameterized.expand(CHOICE_CASES)
    def test_offer_with_the_lowest_cost_is_first(
        self,
        _name: str,
        policy: str,
        first_offer: tuple[int, float],
        second_offer: tuple[int, float],
        expected: int,
    ) -> None:
        offers = (offer(1, *first_offer), offer(4, *second_offer))
        chosen = POLICIES[policy]().choose(BOOK, offers)
        self.assertEqual(chosen[0], offers[expected])

    def test_shortlist_widens_only_while_its_hosts_are_busy(self) -> None:
        policy = POLICIES["probe"]()
        first = policy.shortlist(BOOK, HOSTS, random.Random(1))
        busy_offers = tuple(Offer(each, IDENTITY, 20_000, 30.0) for each in first)
        more = policy.widen(BOOK, HOSTS, busy_offers, first)
        self.assertEqual(len(more), len(first))
        self.assertFalse(set(more) & set(first))
        all_offers = (*busy_offers, *(Offer(each, IDENTITY, 0, 1.1) for each in more))
        self.assertIn(policy.choose(BOOK, all_offers)[0].candidate, more)
        idle_offers = tuple(Offer(each, IDENTITY, 20_000, 0.1) for each in first)
        self.assertEqual(policy.widen(BOOK, HOSTS, idle_offers, first), ())

    @parameterized.expand([("all_busy", 99.0), ("none_answer", None)])
    def test_number_of_probes_is_limited(
        self, _name: str, estimate: float | None
    ) -> None:
        policy = POLICIES["probe"]()
        offers: tuple[Offer, ...] = ()
        probed: tuple[Candidate, ...] = ()
        shortlist = policy.shortlist(BOOK, HOSTS, random.Random(1))
        while shortlist:
            probed += shortlist
            if estimate is not None:
                offers += tuple(Offer(e, IDENTITY, 0, estimate) for e in shortlist)
            shortlist = policy.widen(BOOK, HOSTS, offers, probed)
        self.assertEqual(len(set(probed)), MAX_PROBES)

    @parameterized.expand([(name,) for name in ("probe", "random", "rendezvous")])
    def test_no_candidates_or_no_prompt(self, name: str) -> None:
        policy = POLICIES[name]()
        request_without_prompt = PlacementRequest((), 0, Priority.SHORT, "dc0")
        self.assertEqual(
            policy.shortlist(request_without_prompt, (), random.Random(1)), ()
        )
        self.assertTrue(
            policy.shortlist(request_without_prompt, HOSTS, random.Random(1))
        )
