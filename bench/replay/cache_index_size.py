"""Memory and processor time of a sidecar's cache index at the target size."""

from __future__ import annotations

import time
import tracemalloc

from agatehoist.cache.cache_index import MAX_KNOWN_LEVELS, CacheIndex
from agatehoist.cache.types import BlockListing, CacheEpoch, CacheEvent, PromptReport
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel

BLOCKS_PER_ENGINE = 21_700
EVENTS_PER_S = 15
BLOCKS_PER_EVENT = 16
EVENTS = 2000
LEVELS_PER_PROMPT = 8
EPOCH = CacheEpoch("run", "1")


def print_cache_index_size() -> None:
    """Print the memory of a full index and the time of an event and of a match."""
    tracemalloc.start()
    cache_index = _make_full_index()
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(
        f"cache picture: {megabytes:.1f} MB with {BLOCKS_PER_ENGINE} blocks "
        f"and {cache_index.known_levels} levels"
    )
    event_us = _time_events_us(cache_index)
    percent = event_us * EVENTS_PER_S / 1e4
    print(
        f"cache event: {event_us:.0f} µs, {percent:.2f}% of a core at {EVENTS_PER_S}/s"
    )
    print(f"matching of a prompt: {_time_match_us(cache_index):.1f} µs")


def _make_full_index() -> CacheIndex:
    cache_index = CacheIndex()
    cache_index.reset(EPOCH)
    blocks = tuple(f"{index:016x}" for index in range(BLOCKS_PER_ENGINE))
    cache_index.resync(BlockListing(EPOCH, 0, blocks))
    for first in range(0, MAX_KNOWN_LEVELS, LEVELS_PER_PROMPT):
        attempt_id = AttemptId("bench", first)
        block = blocks[first % BLOCKS_PER_ENGINE]
        cache_index.expect(attempt_id, _levels(first))
        cache_index.record(
            attempt_id, PromptReport(LEVELS_PER_PROMPT * 16, 0, (block,))
        )
    return cache_index


def _levels(first: int) -> tuple[PrefixLevel, ...]:
    return tuple(
        PrefixLevel((first + index).to_bytes(8, "big"), 16 * (index + 1))
        for index in range(LEVELS_PER_PROMPT)
    )


def _time_events_us(cache_index: CacheIndex) -> float:
    events = [
        CacheEvent(
            EPOCH,
            sequence,
            tuple(f"n{sequence}-{index}" for index in range(BLOCKS_PER_EVENT)),
            tuple(f"n{sequence - 1}-{index}" for index in range(BLOCKS_PER_EVENT)),
        )
        for sequence in range(1, EVENTS + 1)
    ]
    started_at = time.process_time()
    for event in events:
        cache_index.apply(event)
    return (time.process_time() - started_at) / EVENTS * 1e6


def _time_match_us(cache_index: CacheIndex) -> float:
    levels = _levels(0)
    started_at = time.process_time()
    for _ in range(EVENTS):
        cache_index.matched_tokens(levels)
    return (time.process_time() - started_at) / EVENTS * 1e6
