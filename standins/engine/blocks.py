"""Block cache of the engine stand-in."""

from __future__ import annotations

import hashlib
import re
from collections import OrderedDict

BLOCK_TOKENS = 16

_TOKEN = re.compile(r"\s*\S{1,4}")


def tokenize(text: str) -> list[str]:
    """Split a text into tokens of up to four characters."""
    return _TOKEN.findall(text)


def block_hashes(tokens: list[str], salt: str) -> list[str]:
    """Return the hash of each full block, chained with the blocks before it."""
    state = hashlib.blake2b(salt.encode(), digest_size=8)
    hashes = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        state.update("".join(tokens[start : start + BLOCK_TOKENS]).encode())
        hashes.append(state.hexdigest())
    return hashes


class BlockCache:
    """Hold the most recently used blocks, at most `capacity` of them."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def count_cached_prefix(self, hashes: list[str]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for each in hashes:
            if each not in self._blocks:
                break
            count += 1
        # The first block of a chain is evicted last.
        for each in reversed(hashes[:count]):
            self._blocks.move_to_end(each)
        return count

    def holds(self, block: str) -> bool:
        """Return whether a block is cached."""
        return block in self._blocks

    def blocks(self) -> tuple[str, ...]:
        """Return every cached block."""
        return tuple(self._blocks)

    def store(self, hashes: list[str]) -> list[str]:
        """Add the blocks and return the evicted ones."""
        for each in reversed(hashes):
            self._blocks[each] = None
            self._blocks.move_to_end(each)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        return evicted

    def clear(self) -> None:
        """Drop every block."""
        self._blocks.clear()
