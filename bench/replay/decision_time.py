"""Processor time of one placement decision as the fleet grows."""

from __future__ import annotations

import random
import time

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Candidate, Offer, PlacementRequest

HOST_COUNTS = (40, 150, 300, 600, 1200)
DECISIONS = 300
LEVELS_PER_PROMPT = 8


def print_decision_times(policy_name: str) -> None:
    """Print the processor time of a policy's shortlist and choice by fleet size."""
    for hosts in HOST_COUNTS:
        microseconds = _measure_us(policy_name, hosts)
        print(f"{policy_name}: {hosts:5d} runners: {microseconds:7.0f} µs a decision")


def _measure_us(policy_name: str, hosts: int) -> float:
    placement_policy = POLICIES[policy_name]()
    rng = random.Random(1)
    candidates = tuple(
        Candidate(f"runner-{index}", f"dc{index % 14}") for index in range(hosts)
    )
    requests = [_make_request(rng) for _ in range(DECISIONS)]
    identity = EndpointIdentity("s", "e", "1")
    started_at = time.process_time()
    for request in requests:
        shortlist = placement_policy.shortlist(request, candidates, rng)
        offers = [Offer(each, identity, 0, rng.random()) for each in shortlist]
        placement_policy.choose(request, offers)
    return (time.process_time() - started_at) / DECISIONS * 1e6


def _make_request(rng: random.Random) -> PlacementRequest:
    levels = tuple(
        PrefixLevel(rng.randbytes(8), 256 << index)
        for index in range(LEVELS_PER_PROMPT)
    )
    return PlacementRequest(levels, levels[-1].tokens, Priority.LONG, "dc1")
