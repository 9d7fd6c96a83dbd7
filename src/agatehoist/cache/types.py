"""Types of what an engine tells about its cache."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheEpoch:
    """Name the engine run and the weights that cached blocks belong to."""

    incarnation: str
    weights_version: str


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report blocks that were stored and then removed, by their hashes."""

    epoch: CacheEpoch
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BlockListing:
    """List every cached block as of the event with the sequence number."""

    epoch: CacheEpoch
    sequence: int
    blocks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KvExport:
    """Hold the leading blocks of a prompt that an engine gave away."""

    epoch: CacheEpoch
    blocks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PromptReport:
    """Hold what an answer reports about its prompt; blocks may be missing."""

    prompt_tokens: int
    cached_tokens: int
    blocks: tuple[str, ...] = ()
