"""Slopes of the sidecar's cache index."""

from __future__ import annotations

from agatehoist.cache.cache_index import CacheIndex
from agatehoist.cache.types import CacheEpoch, CacheEvent, PromptReport
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel
from bench.capacity.slopes import allocated_bytes, processor_us, slope

BLOCK_COUNTS = (5_000, 10_000, 20_000, 40_000)
BLOCKS_PER_ENGINE = 21_700
BLOCKS_PER_PROMPT = 500
LEVELS_PER_PROMPT = 10
BLOCK_TOKENS = 16
EPOCH = CacheEpoch("run", "1")


@slope("sidecar: cache picture", "block", "bytes", BLOCK_COUNTS, BLOCKS_PER_ENGINE)
def index_bytes(count: int) -> float:
    """Return the memory of an index of so many blocks."""
    return allocated_bytes(lambda: _make_index(count))


@slope("sidecar: matching a prompt", "block", "us", BLOCK_COUNTS, BLOCKS_PER_ENGINE)
def match_us(count: int) -> float:
    """Return the processor time of matching the ten levels of a prompt."""
    cache_index = _make_index(count)
    levels = _make_levels(0)
    return processor_us(lambda: cache_index.matched_tokens(levels))


@slope("sidecar: taking a cache event", "block", "us", BLOCK_COUNTS, BLOCKS_PER_ENGINE)
def apply_event_us(count: int) -> float:
    """Return the processor time of an event that stores and removes a block."""
    cache_index = _make_index(count)
    sequence = count

    def apply_event() -> None:
        nonlocal sequence
        sequence += 1
        event = CacheEvent(
            EPOCH, sequence, (_block_hash(sequence),), (_block_hash(sequence - count),)
        )
        cache_index.apply(event)

    return processor_us(apply_event)


def _make_index(count: int) -> CacheIndex:
    cache_index = CacheIndex()
    cache_index.reset(EPOCH)
    for start in range(0, count, BLOCKS_PER_PROMPT):
        blocks = tuple(_block_hash(start + index) for index in range(BLOCKS_PER_PROMPT))
        cache_index.apply(CacheEvent(EPOCH, start // BLOCKS_PER_PROMPT, blocks))
        attempt_id = AttemptId("router", start)
        cache_index.expect(attempt_id, _make_levels(start))
        tokens = BLOCKS_PER_PROMPT * BLOCK_TOKENS
        cache_index.record(attempt_id, PromptReport(tokens, 0, blocks))
    return cache_index


def _make_levels(start: int) -> tuple[PrefixLevel, ...]:
    step = BLOCKS_PER_PROMPT * BLOCK_TOKENS // LEVELS_PER_PROMPT
    return tuple(
        PrefixLevel((start + index).to_bytes(8, "big"), (index + 1) * step)
        for index in range(LEVELS_PER_PROMPT)
    )


def _block_hash(index: int) -> str:
    return f"{index:016x}"
