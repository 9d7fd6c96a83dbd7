"""Processor time of one placement decision as the fleet grows."""

from __future__ import annotations

import random
import time

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import Candidate, Offer, PlacementRequest

RUNNERS = (40, 150, 300, 600, 1200)
DECISIONS = 300
LEVELS = 8


def print_decision_times(policy: str) -> None:
    """Print the time of ranking and choosing for each size of fleet."""
    for runners in RUNNERS:
        microseconds = _measure_us(policy, runners)
        print(f"{policy}: {runners:5d} runners: {microseconds:7.0f} µs a decision")


def _measure_us(policy: str, runners: int) -> float:
    chooser = POLICIES[policy]()
    rng = random.Random(1)
    candidates = tuple(
        Candidate(f"runner-{index}", f"dc{index % 14}") for index in range(runners)
    )
    questions = [_question(rng) for _ in range(DECISIONS)]
    identity = EndpointIdentity("s", "e", "1")
    began_at = time.process_time()
    for question in questions:
        shortlist = chooser.shortlist(question, candidates, rng)
        offers = [Offer(each, identity, 0, rng.random()) for each in shortlist]
        chooser.choose(question, offers)
    return (time.process_time() - began_at) / DECISIONS * 1e6


def _question(rng: random.Random) -> PlacementRequest:
    levels = tuple(
        PrefixLevel(rng.randbytes(8), 256 << index) for index in range(LEVELS)
    )
    return PlacementRequest(levels, levels[-1].tokens, Priority.LONG, "dc1")
