"""Simulated engine that uses the block cache of the engine stand-in."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from agatehoist.cache.types import CacheEpoch, CacheEvent
from standins.engine.blocks import BlockCache

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.replay.timeline import Timeline
    from bench.replay.trace import Deployment, Part

BLOCK_TOKENS = 64
WEIGHTS_VERSION = "1"
CHUNK_TOKENS = 2048
MAX_BLOCKS_PER_PART = 1 << 20


@dataclass(frozen=True, slots=True)
class Job:
    """Hold a prompt to compute.

    order is the index of its request in the trace; of equal priorities, the lowest one
    runs first. The callbacks receive the number of prompt tokens that were cached.
    """

    order: int
    priority: int
    blocks: tuple[int, ...]
    answer_tokens: int
    on_first_token: Callable[[int], None]
    on_end: Callable[[int], None]


class _PrefillProgress:
    def __init__(self) -> None:
        # -1 until the first chunk starts.
        self.cached_tokens = -1
        self.missing_tokens = 0


class ReplayEngine:
    """Compute prefills chunk by chunk, the lowest priority number first."""

    def __init__(self, deployment: Deployment, timeline: Timeline) -> None:
        # Number of the current run; each crash begins another one.
        self.run = 0
        self.computed_tokens = 0
        self.on_event: Callable[[CacheEvent], None] = lambda _event: None
        self._deployment = deployment
        self._timeline = timeline
        self._jobs: dict[Job, _PrefillProgress] = {}
        self._is_computing = False
        self._sequence = 0
        self._cache = self._empty_cache()

    @property
    def epoch(self) -> CacheEpoch:
        """Return the run and the weights that the cached blocks belong to."""
        return CacheEpoch(str(self.run), WEIGHTS_VERSION)

    def submit(self, job: Job) -> None:
        """Queue a prompt for prefill."""
        self._jobs[job] = _PrefillProgress()
        self._start_chunk()

    def crash(self) -> list[Job]:
        """Drop the cache and all jobs, and return the jobs."""
        jobs = list(self._jobs)
        self.run += 1
        self._jobs.clear()
        self._is_computing = False
        self._cache = self._empty_cache()
        self._sequence = 0
        return jobs

    def holds(self, block: int) -> bool:
        """Return whether a block is cached."""
        return self._cache.holds(block)

    def missing_tokens(self, order: int, blocks: Sequence[int]) -> int:
        """Return how many tokens of a prompt are still to be computed."""
        for job, progress in self._jobs.items():
            if job.order == order and progress.cached_tokens >= 0:
                return progress.missing_tokens
        return (len(blocks) - count_leading_blocks(blocks, self.holds)) * BLOCK_TOKENS

    def import_blocks(self, blocks: tuple[int, ...]) -> None:
        """Cache blocks that another host computed."""
        self._store(blocks)

    def _store(self, blocks: tuple[int, ...], first_computed: int = 0) -> None:
        removed = self._cache.store(blocks)
        self._sequence += 1
        stored = blocks[first_computed:]
        self.on_event(CacheEvent(self.epoch, self._sequence, stored, tuple(removed)))

    def listing(self) -> tuple[int, tuple[Any, ...]]:
        """Return the sequence number of the last event and the cached blocks."""
        return self._sequence, self._cache.blocks()

    def _empty_cache(self) -> BlockCache:
        return BlockCache(self._deployment.cache_tokens // BLOCK_TOKENS)

    def _start_chunk(self) -> None:
        if self._is_computing or not self._jobs:
            return
        self._is_computing = True
        job = min(self._jobs, key=lambda each: (each.priority, each.order))
        progress = self._jobs[job]
        if progress.cached_tokens < 0:
            progress.cached_tokens = (
                self._cache.count_cached_prefix(job.blocks) * BLOCK_TOKENS
            )
            prompt_tokens = len(job.blocks) * BLOCK_TOKENS
            progress.missing_tokens = prompt_tokens - progress.cached_tokens
        tokens = min(CHUNK_TOKENS, progress.missing_tokens)
        duration = tokens / self._deployment.prefill_tokens_per_s
        run = self.run
        self._timeline.after(duration, lambda: self._end_chunk(run, job, tokens))

    def _end_chunk(self, run: int, job: Job, tokens: int) -> None:
        if run != self.run:
            return
        self._is_computing = False
        progress = self._jobs[job]
        progress.missing_tokens -= tokens
        self.computed_tokens += tokens
        if progress.missing_tokens <= 0:
            self._finish_prefill(job, progress.cached_tokens)
        self._start_chunk()

    def _finish_prefill(self, job: Job, cached_tokens: int) -> None:
        del self._jobs[job]
        self._store(job.blocks, cached_tokens // BLOCK_TOKENS)
        run = self.run
        decode_s = job.answer_tokens / self._deployment.decode_tokens_per_s
        job.on_first_token(cached_tokens)
        self._timeline.after(
            decode_s, lambda: run == self.run and job.on_end(cached_tokens)
        )


def count_leading_blocks(blocks: Sequence[int], holds: Callable[[int], bool]) -> int:
    """Return how many leading blocks are held.

    Uses binary search, since no block behind a missing one is held.
    """
    return bisect.bisect_left(blocks, True, key=lambda each: not holds(each))


def prompt_blocks(parts: Sequence[Part]) -> tuple[int, ...]:
    """Return the block ids of a prompt, in order."""
    return tuple(
        part.part_id * MAX_BLOCKS_PER_PART + index
        for part in parts
        for index in range(part.tokens // BLOCK_TOKENS)
    )
