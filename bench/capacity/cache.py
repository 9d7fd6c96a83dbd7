"""Slopes of the sidecar's cache picture."""

from __future__ import annotations

from agatehoist.cache.cache_index import CacheIndex
from agatehoist.cache.types import CacheEpoch, CacheEvent, PromptReport
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel
from bench.capacity.slopes import allocated_bytes, processor_us, slope

BLOCKS = (5_000, 10_000, 20_000, 40_000)
BLOCKS_OF_AN_ENGINE = 21_700
BLOCKS_OF_A_PROMPT = 500
LEVELS_OF_A_PROMPT = 10
BLOCK_TOKENS = 16
EPOCH = CacheEpoch("run", "1")


@slope("sidecar: cache picture", "block", "bytes", BLOCKS, BLOCKS_OF_AN_ENGINE)
def picture_memory(count: int) -> float:
    """Return the memory of a picture with so many blocks."""
    return allocated_bytes(lambda: _fill(count))


@slope("sidecar: matching a prompt", "block", "us", BLOCKS, BLOCKS_OF_AN_ENGINE)
def picture_match(count: int) -> float:
    """Return the processor time of matching a prompt of ten levels."""
    picture = _fill(count)
    levels = _levels(0)
    return processor_us(lambda: picture.matched_tokens(levels))


@slope("sidecar: taking a cache event", "block", "us", BLOCKS, BLOCKS_OF_AN_ENGINE)
def picture_event(count: int) -> float:
    """Return the processor time of an event that stores and removes a block."""
    picture = _fill(count)
    sequence = count

    def take() -> None:
        nonlocal sequence
        sequence += 1
        event = CacheEvent(
            EPOCH, sequence, (_block(sequence),), (_block(sequence - count),)
        )
        picture.apply(event)

    return processor_us(take)


def _fill(count: int) -> CacheIndex:
    picture = CacheIndex()
    picture.reset(EPOCH)
    for start in range(0, count, BLOCKS_OF_A_PROMPT):
        blocks = tuple(_block(start + index) for index in range(BLOCKS_OF_A_PROMPT))
        picture.apply(CacheEvent(EPOCH, start // BLOCKS_OF_A_PROMPT, blocks))
        attempt_id = AttemptId("router", start)
        picture.expect(attempt_id, _levels(start))
        tokens = BLOCKS_OF_A_PROMPT * BLOCK_TOKENS
        picture.record(attempt_id, PromptReport(tokens, 0, blocks))
    return picture


def _levels(start: int) -> tuple[PrefixLevel, ...]:
    step = BLOCKS_OF_A_PROMPT * BLOCK_TOKENS // LEVELS_OF_A_PROMPT
    return tuple(
        PrefixLevel((start + index).to_bytes(8, "big"), (index + 1) * step)
        for index in range(LEVELS_OF_A_PROMPT)
    )


def _block(index: int) -> str:
    return f"{index:016x}"
