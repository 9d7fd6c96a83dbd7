"""Index of the prefix levels that an engine is expected to have cached."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.cache.blocks import BlockSet
from agatehoist.core.work import PrefixLevel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agatehoist.cache.types import (
        BlockListing,
        CacheEpoch,
        CacheEvent,
        PromptReport,
    )
    from agatehoist.core.identity import AttemptId

MAX_KNOWN_LEVELS = 32768
# A hit ratio below this share of the expected one shows that blocks were evicted.
MIN_HIT_RATIO_OF_EXPECTED = 0.8


class CacheIndex:
    """Track the levels that an engine process holds under one version of the weights.

    A level is expected while an admitted prompt that contains it has not been answered,
    and known once one has. A known level is held while the last block inside it is in
    the block set. For an engine that doesn't report its blocks, it is held until an
    answer shows that it, or a level that was used more recently, has been evicted.
    """

    def __init__(self, max_levels: int = MAX_KNOWN_LEVELS) -> None:
        self.epoch: CacheEpoch | None = None
        self._max_levels = max_levels
        self._blocks = BlockSet()
        self._block_by_digest: OrderedDict[bytes, str | None] = OrderedDict()
        self._prompts_by_attempt: dict[AttemptId, _Prompt] = {}
        self._expected_digests: Counter[bytes] = Counter()

    @property
    def resync_needed(self) -> bool:
        """Return whether a listing of all blocks is needed."""
        return self._blocks.resync_needed

    @property
    def known_levels(self) -> int:
        """Return the number of known levels, whether they are still held or not."""
        return len(self._block_by_digest)

    def matched_tokens(self, levels: Sequence[PrefixLevel]) -> int:
        """Return the tokens of the longest level that is held or expected."""
        for level in reversed(levels):
            if self._expected_digests[level.digest] or self._holds(level):
                return level.tokens
        return 0

    def held_tokens(self, levels: Sequence[PrefixLevel]) -> int:
        """Return the tokens of the longest level that is held."""
        held = filter(self._holds, reversed(levels))
        return next((level.tokens for level in held), 0)

    def expect(self, attempt_id: AttemptId, levels: Sequence[PrefixLevel]) -> None:
        """Count the levels of an admitted prompt as expected in the cache soon."""
        held = next(filter(self._holds, reversed(levels)), None)
        self._prompts_by_attempt[attempt_id] = _Prompt(tuple(levels), held)
        self._expected_digests.update(level.digest for level in levels)

    def stop_expecting(self, attempt_id: AttemptId) -> None:
        """Stop expecting the levels of an attempt."""
        prompt = self._prompts_by_attempt.pop(attempt_id, None)
        for level in prompt.levels if prompt else ():
            self._expected_digests[level.digest] -= 1
            if not self._expected_digests[level.digest]:
                del self._expected_digests[level.digest]

    def record(self, attempt_id: AttemptId, report: PromptReport) -> None:
        """Update the index from what the answer to an expected prompt reports."""
        prompt = self._prompts_by_attempt.get(attempt_id)
        if prompt is None or not prompt.levels:
            return
        self.stop_expecting(attempt_id)
        if prompt.shows_eviction(report):
            self._forget_evicted(prompt.held)
        for level in reversed(prompt.levels):
            self._block_by_digest[level.digest] = prompt.last_block(level, report)
            self._block_by_digest.move_to_end(level.digest)
        while len(self._block_by_digest) > self._max_levels:
            self._block_by_digest.popitem(last=False)

    def apply(self, event: CacheEvent) -> None:
        """Apply an event; those of another engine process or weights are dropped."""
        if event.epoch == self.epoch:
            self._blocks.apply(event)

    def request_resync(self) -> None:
        """Mark a listing as needed, as when events may have been lost."""
        self._blocks.resync_needed = True

    def resync(self, listing: BlockListing) -> None:
        """Apply a listing; that of another engine process or weights is dropped."""
        if listing.epoch == self.epoch:
            self._blocks.resync(listing)

    def reset(self, epoch: CacheEpoch | None) -> None:
        """Clear the index, as after an engine restart or a change of weights."""
        self.epoch = epoch
        self._blocks = BlockSet()
        self._block_by_digest.clear()
        self._prompts_by_attempt.clear()
        self._expected_digests.clear()

    def _holds(self, level: PrefixLevel) -> bool:
        if level.digest not in self._block_by_digest:
            return False
        block = self._block_by_digest[level.digest]
        if block is None:
            return True
        return block in self._blocks or not self._blocks.has_block_reports

    def _forget_evicted(self, evicted: PrefixLevel | None) -> None:
        if self._blocks.has_block_reports:
            self._blocks.resync_needed = True
            return
        if evicted is None or evicted.digest not in self._block_by_digest:
            return
        # The engine evicts the least recently used blocks first, so every level last
        # used before the evicted one is gone too.
        digest = b""
        while digest != evicted.digest:
            digest, _ = self._block_by_digest.popitem(last=False)


@dataclass(frozen=True, slots=True)
class _Prompt:
    """Hold the levels of an admitted prompt and the longest held at admission."""

    levels: tuple[PrefixLevel, ...]
    held: PrefixLevel | None

    @property
    def tokens(self) -> int:
        return max(1, self.levels[-1].tokens)

    def shows_eviction(self, report: PromptReport) -> bool:
        if self.held is None:
            return False
        cached_fraction = report.cached_tokens / max(1, report.prompt_tokens)
        return (
            cached_fraction < MIN_HIT_RATIO_OF_EXPECTED * self.held.tokens / self.tokens
        )

    def last_block(self, level: PrefixLevel, report: PromptReport) -> str | None:
        if not report.blocks:
            return None
        count = len(report.blocks) * level.tokens // self.tokens
        return report.blocks[max(0, count - 1)]
