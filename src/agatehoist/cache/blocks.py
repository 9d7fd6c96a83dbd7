"""Set of the blocks that an engine has cached, from its cache events."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.cache.types import BlockListing, CacheEvent

# Blocks tracked per engine. Beyond it the earliest stored ones are forgotten, and a
# longer listing is cut off.
MAX_BLOCKS = 65536


class BlockSet:
    """Apply numbered cache events; a sequence gap requests a listing of all blocks.

    has_block_reports is false until the first event or listing.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self.resync_needed = False
        self.has_block_reports = False
        self._max_blocks = max_blocks
        self._next_sequence: int | None = None
        self._blocks: dict[str, None] = {}

    def __contains__(self, block: str) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def apply(self, event: CacheEvent) -> None:
        """Apply one event; an event older than the last one is dropped."""
        expected = self._next_sequence
        if expected is not None and event.sequence < expected:
            return
        if event.sequence != expected:
            self.resync_needed = True
        self.has_block_reports = True
        self._next_sequence = event.sequence + 1
        self._blocks.update(dict.fromkeys(event.stored))
        for block in event.removed:
            self._blocks.pop(block, None)
        self._trim()

    def resync(self, listing: BlockListing) -> None:
        """Replace the blocks by a listing unless newer events have been applied."""
        expected = self._next_sequence
        if expected is not None and listing.sequence + 1 < expected:
            return
        self.resync_needed = False
        self.has_block_reports = True
        self._next_sequence = listing.sequence + 1
        self._blocks = dict.fromkeys(islice(listing.blocks, self._max_blocks))

    def _trim(self) -> None:
        excess = len(self._blocks) - self._max_blocks
        for block in tuple(islice(self._blocks, max(0, excess))):
            del self._blocks[block]
