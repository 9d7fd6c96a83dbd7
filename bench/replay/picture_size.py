"""Memory and processor time of a sidecar's cache picture at the target size."""

from __future__ import annotations

import time
import tracemalloc

from agatehoist.cache.cache_index import MAX_KNOWN_LEVELS, CacheIndex
from agatehoist.cache.types import BlockListing, CacheEpoch, CacheEvent, PromptReport
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel

BLOCKS = 21_700
EVENTS_PER_S = 15
EVENT_BLOCKS = 16
EVENTS = 2000
LEVELS = 8
EPOCH = CacheEpoch("run", "1")


def print_picture_size() -> None:
    """Print what a full picture takes and what an event and a probe cost."""
    tracemalloc.start()
    picture = _full_picture()
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(
        f"cache picture: {megabytes:.1f} MB with {BLOCKS} blocks "
        f"and {picture.known_levels} levels"
    )
    event_us = _time_events_us(picture)
    share = event_us * EVENTS_PER_S / 1e4
    print(f"cache event: {event_us:.0f} µs, {share:.2f}% of a core at {EVENTS_PER_S}/s")
    print(f"matching of a prompt: {_time_match_us(picture):.1f} µs")


def _full_picture() -> CacheIndex:
    picture = CacheIndex()
    picture.reset(EPOCH)
    blocks = tuple(f"{index:016x}" for index in range(BLOCKS))
    picture.resync(BlockListing(EPOCH, 0, blocks))
    for first in range(0, MAX_KNOWN_LEVELS, LEVELS):
        attempt_id = AttemptId("bench", first)
        block = blocks[first % BLOCKS]
        picture.expect(attempt_id, _levels(first))
        picture.record(attempt_id, PromptReport(LEVELS * 16, 0, (block,)))
    return picture


def _levels(first: int) -> tuple[PrefixLevel, ...]:
    return tuple(
        PrefixLevel((first + index).to_bytes(8, "big"), 16 * (index + 1))
        for index in range(LEVELS)
    )


def _time_events_us(picture: CacheIndex) -> float:
    events = [
        CacheEvent(
            EPOCH,
            sequence,
            tuple(f"n{sequence}-{index}" for index in range(EVENT_BLOCKS)),
            tuple(f"n{sequence - 1}-{index}" for index in range(EVENT_BLOCKS)),
        )
        for sequence in range(1, EVENTS + 1)
    ]
    began_at = time.process_time()
    for event in events:
        picture.apply(event)
    return (time.process_time() - began_at) / EVENTS * 1e6


def _time_match_us(picture: CacheIndex) -> float:
    levels = _levels(0)
    began_at = time.process_time()
    for _ in range(EVENTS):
        picture.matched_tokens(levels)
    return (time.process_time() - began_at) / EVENTS * 1e6
