"""Types of the data that endpoints report."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Hold the status of an endpoint; `running` counts its running jobs.

    running isn't compared, as a change of it is no restart or change of weights.
    """

    incarnation: str
    weights_version: str
    running: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class EngineTokens:
    """Hold the texts of tokens that arrived together."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """Hold the end of an answer; not every engine reports the block hashes."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    block_hashes: tuple[str, ...] = ()
