"""Slopes of the sidecar's cache picture."""

from __future__ import annotations

from agatehoist.cache.picture import CachePicture
from agatehoist.core.work import PrefixLevel
from bench.capacity.slopes import allocated_bytes, processor_us, slope

LEVELS = (5_000, 10_000, 20_000, 40_000)
BLOCKS_OF_AN_ENGINE = 21_700


@slope("sidecar: cache picture", "block", "bytes", LEVELS, BLOCKS_OF_AN_ENGINE)
def picture_memory(count: int) -> float:
    """Return the memory of a picture with so many levels."""
    return allocated_bytes(lambda: _fill(count))


@slope("sidecar: matching a prompt", "block", "us", LEVELS, BLOCKS_OF_AN_ENGINE)
def picture_match(count: int) -> float:
    """Return the processor time of matching a prompt of ten levels."""
    picture = _fill(count)
    levels = [PrefixLevel(_digest(index), 1) for index in range(count, count + 10)]
    return processor_us(lambda: picture.matched_tokens(levels))


def _fill(count: int) -> CachePicture:
    picture = CachePicture()
    picture.record([PrefixLevel(_digest(index), index) for index in range(count)])
    return picture


def _digest(index: int) -> bytes:
    return index.to_bytes(8, "big")
