"""Slopes of the router's placement decisions and of its list of endpoints."""

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

ENGINE_COUNTS = (40, 170, 400, 800, 1_200)
TARGET_ENGINES = 1_200
ENGINES_PER_REGION = 300
PROMPT_SIZES_KIB = (16, 64, 128, 256)
LONGEST_PROMPT_KIB = 160
MODEL = "songs-8b"
REGION = "region-1"


@slope("router: one placement decision", "runner", "us", ENGINE_COUNTS, TARGET_ENGINES)
def decision_us(engines: int) -> float:
    """Return the processor time of listing and ranking the engines of a region."""
    directory = make_directory(engines)
    levels = find_levels(("verse " * 2000,), salt_for("archive", MODEL, "1"))
    placement_request = PlacementRequest(levels, 3000, Priority.LONG, "dc-1")
    rng = random.Random(1)
    suspects = SuspicionTable()

    def shortlist_once() -> object:
        candidates = suspects.candidates_to_try(
            directory.candidates(ENGINE, MODEL), 0.0
        )
        same_region, _ = directory.split_by_region(candidates, REGION)
        return POLICIES["probe"]().shortlist(placement_request, same_region, rng)

    return processor_us(shortlist_once)


@slope("router: host list", "endpoint", "bytes", ENGINE_COUNTS, TARGET_ENGINES)
def host_list_bytes(engines: int) -> float:
    """Return the memory of a directory of so many engines."""
    return allocated_bytes(lambda: make_directory(engines))


@slope(
    "router: prefix levels of a prompt",
    "KiB",
    "us",
    PROMPT_SIZES_KIB,
    LONGEST_PROMPT_KIB,
)
def find_levels_us(prompt_kib: int) -> float:
    """Return the processor time of hashing a prompt into its prefix levels."""
    parts = ("v" * prompt_kib * 1024,)
    salt = salt_for("archive", MODEL, "1")
    return processor_us(lambda: find_levels(parts, salt))


def make_directory(engines: int) -> EndpointDirectory:
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
        for index in range(engines)
    )
    return directory
