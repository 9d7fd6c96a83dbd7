"""Slopes of the router's decisions."""

from __future__ import annotations

import random

from agatehoist.attempts.suspicion import SuspicionTable
from agatehoist.core.clock import ManualClock
from agatehoist.core.work import Priority
from agatehoist.placement.levels import find_levels, salt_for
from agatehoist.placement.policies import POLICIES
from agatehoist.placement.types import PlacementRequest
from agatehoist.router.directory import ENGINE, EndpointDirectory
from agatehoist.storage.types import HostEntry
from bench.capacity.slopes import allocated_bytes, processor_us, slope

FLEET_SIZES = (40, 170, 400, 800, 1_200)
RUNNERS = 1_200
RUNNERS_OF_A_REGION = 300
PROMPT_KIB = (16, 64, 128, 256)
LONGEST_PROMPT_KIB = 160
MODEL = "songs-8b"
REGION = "region-1"


@slope("router: one placement decision", "runner", "us", FLEET_SIZES, RUNNERS)
def decision(runners: int) -> float:
    """Return the processor time of listing and ranking the runners of a region."""
    directory = make_directory(runners)
    levels = find_levels(("verse " * 2000,), salt_for("archive", MODEL, "1"))
    question = PlacementRequest(levels, 3000, Priority.LONG, "dc-1")
    rng = random.Random(1)
    suspects = SuspicionTable()

    def run() -> object:
        candidates = suspects.trusted(directory.candidates(ENGINE, MODEL), 0.0)
        near, _ = directory.split_by_region(candidates, REGION)
        return POLICIES["probe"]().shortlist(question, near, rng)

    return processor_us(run)


@slope("router: host list", "endpoint", "bytes", FLEET_SIZES, RUNNERS)
def host_list(runners: int) -> float:
    """Return the memory of the host list."""
    return allocated_bytes(lambda: make_directory(runners))


@slope("router: prefix levels of a prompt", "KiB", "us", PROMPT_KIB, LONGEST_PROMPT_KIB)
def levels_of_prompt(kib: int) -> float:
    """Return the processor time of hashing a prompt."""
    parts = ("v" * kib * 1024,)
    salt = salt_for("archive", MODEL, "1")
    return processor_us(lambda: find_levels(parts, salt))


def make_directory(runners: int) -> EndpointDirectory:
    """Return a directory that lists so many engines."""
    directory = EndpointDirectory(ManualClock())
    directory.replace(
        HostEntry(
            f"host-{index}",
            f"127.0.{index // 250}.{index % 250}",
            7000,
            f"dc-{index % 14}",
            f"region-{index % 4}",
            ENGINE,
            MODEL,
        )
        for index in range(runners)
    )
    return directory
