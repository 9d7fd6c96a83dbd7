"""Data types of an engine's reports about its cache."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheEpoch:
    """Identify the engine process and the weights that cached blocks belong to.

    The incarnation is an identifier that the engine changes with each restart.
    """

    incarnation: str
    weights_version: str


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report hashes of blocks that were stored, and of those removed after that."""

    epoch: CacheEpoch
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BlockListing:
    """List all cached blocks as of the event with the given sequence number."""

    epoch: CacheEpoch
    sequence: int
    blocks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KvExport:
    """Hold the leading blocks of a prompt that an engine exported."""

    epoch: CacheEpoch
    blocks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PromptReport:
    """Hold what an answer reports about its prompt; blocks may be empty."""

    prompt_tokens: int
    cached_tokens: int
    blocks: tuple[str, ...] = ()
