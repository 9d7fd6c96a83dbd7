"""Tests of the search for offers."""

from __future__ import annotations

import random
import unittest
from unittest.mock import Mock, patch

import anyio
from parameterized import parameterized

from agatehoist.core.clock import ManualClock
from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import Priority
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Candidate, Offer, PlacementRequest
from agatehoist.router import offer_search
from agatehoist.router.directory import ENGINE, EndpointDirectory
from agatehoist.storage.types import HostEntry, HostState

MODEL = "songs-8b"
IDENTITY = EndpointIdentity("s", "e", "1")
PLACEMENT_REQUEST = PlacementRequest((), 0, Priority.SHORT, "dc1")

# Hosts that answer the probe, and the hosts whose offers are returned.
ANSWERS = [
    ("own_region", {"near-0", "near-1", "far-0"}, {"near-0", "near-1"}),
    ("own_region_silent", {"far-0", "far-1"}, {"far-0", "far-1"}),
    ("nobody", set(), set()),
]


def entry(host: str, region: str) -> HostEntry:
    return HostEntry(host, "127.0.0.1", 1, "dc1", region, ENGINE, MODEL, HostState.LIVE)


class OfferSearchTests(unittest.TestCase):
    @parameterized.expand(ANSWERS)
    def test_other_regions_are_used_only_if_the_own_one_makes_no_offer(
        self, _name: str, answering: set[str], expected: set[str]
    ) -> None:
        directory = EndpointDirectory(ManualClock())
        directory.replace(
            entry(f"{side}-{index}", region)
            for side, region in (("near", "coast"), ("far", "prairie"))
            for index in range(2)
        )
        state = Mock(directory=directory, rng=random.Random(1))
        state.settings.node.region = "coast"

        async def probe_all(
            _state: object, candidates: tuple[Candidate, ...], *_rest: object
        ) -> tuple[Offer, ...]:
            answering_candidates = [
                each for each in candidates if each.host in answering
            ]
            return tuple(Offer(each, IDENTITY, 0, 0.0) for each in answering_candidates)

        with patch.object(offer_search, "probe_all", probe_all):
            offers = anyio.run(
                offer_search.find_offers,
                state,
                POLICIES["probe"](),
                PLACEMENT_REQUEST,
                directory.candidates(ENGINE, MODEL),
                "archive",
                1.0,
            )
        self.assertEqual({each.candidate.host for each in offers}, expected)
