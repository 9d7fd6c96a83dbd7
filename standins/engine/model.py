"""Engine stand-in, whose generated tokens depend only on the prompt."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass

import anyio

from standins.engine.blocks import BLOCK_TOKENS, BlockCache, block_hashes, tokenize
from standins.engine.events import CacheFaults, DelayedLoad, Epoch, EventFeed

ANSWER_TOKENS = 24
WORDS = (
    "salmon",
    "cannery",
    "hymn",
    "verse",
    "river",
    "cedar",
    "lantern",
    "chorus",
    "boom",
    "tide",
    "fiddle",
    "harbour",
    "rope",
    "saw",
    "ballad",
    "winter",
    "oar",
    "lamp",
    "mill",
    "song",
)


@dataclass(frozen=True)
class Speed:
    """Hold the prefill and decode speeds of an engine, in tokens a second."""

    prefill: float = 20_000.0
    decode: float = 200.0


@dataclass(frozen=True)
class Prefill:
    """Hold the token counts and the block hashes of a prefill."""

    prompt_tokens: int
    cached_tokens: int
    block_hashes: tuple[str, ...]


class Engine:
    """Simulate an engine's prefill and decode with a cache of `capacity` blocks."""

    def __init__(
        self,
        model: str,
        capacity: int,
        speed: Speed,
        answer_tokens: int = ANSWER_TOKENS,
        faults: CacheFaults | None = None,
    ) -> None:
        self.model = model
        self.speed = speed
        self.cache = BlockCache(capacity)
        self.incarnation = secrets.token_hex(8)
        self.weights_version = "1"
        self.answer_tokens = answer_tokens
        self.adapters: tuple[str, ...] = ()
        self.role = "mixed"
        self.feed = EventFeed(faults or CacheFaults())
        self.reported_load = DelayedLoad(self.feed.faults.load_lag)
        self.running = 0
        self.cancelled = 0
        self._prefill_lock = anyio.Lock()

    @property
    def epoch(self) -> Epoch:
        """Return the epoch that cached blocks are reported under."""
        return Epoch(self.incarnation, self.weights_version)

    def clear_cache(self) -> None:
        """Clear the cache for new weights, unless the keep_blocks fault is set."""
        if not self.feed.faults.keep_blocks:
            self.cache.clear()

    def import_blocks(self, blocks: list[str]) -> None:
        """Store blocks that another engine computed with the same weights."""
        removed = self.cache.store(blocks)
        self.feed.publish(self.epoch, blocks, removed)

    async def prefill(self, prompt: str, salt: str) -> Prefill:
        """Simulate computing the part of a prompt that isn't cached, and store it."""
        tokens = tokenize(prompt)
        hashes = block_hashes(tokens, salt)
        async with self._prefill_lock:
            cached_tokens = self.cache.count_cached_prefix(hashes) * BLOCK_TOKENS
            await anyio.sleep((len(tokens) - cached_tokens) / self.speed.prefill)
            removed = self.cache.store(hashes)
            stored = hashes[cached_tokens // BLOCK_TOKENS :]
            self.feed.publish(self.epoch, stored, removed)
        return Prefill(len(tokens), cached_tokens, tuple(hashes))

    def token(self, prompt: str, index: int) -> str:
        """Return the answer's token at an index."""
        digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=4).digest()
        word = WORDS[int.from_bytes(digest, "big") % len(WORDS)]
        return word if index == 0 else " " + word
