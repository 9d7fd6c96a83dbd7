"""Types of the data that endpoints report."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Hold what an endpoint reports about itself."""

    incarnation: str
    weights_version: str
    running: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class EngineTokens:
    """Carry the texts of tokens that arrived together."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """Carry the end of an answer; not every engine reports the block hashes."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    block_hashes: tuple[str, ...] = ()
