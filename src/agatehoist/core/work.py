"""Decoded requests, as routers send them to sidecars."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Priority(enum.IntEnum):
    """Rank the scheduling classes of requests; a lower value runs first.

    Completion requests with a prompt of more than LONG_PROMPT_TOKENS (in
    frontend/completion_parser.py) are LONG, all others SHORT.
    """

    SHORT = 0
    LONG = 1


class Run(enum.StrEnum):
    """Tell whether a request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PrefixLevel:
    """Identify one of the nested prefixes of a prompt by its digest.

    Its length is estimated in tokens. Sequences of levels are ordered from the shortest
    prefix to the longest.
    """

    digest: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class Continuation:
    """Hold the part of an answer that earlier attempts delivered."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CompletionWork:
    """Describe a completion request to an inference engine."""

    path: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    continuation: Continuation | None = None


@dataclass(frozen=True, slots=True)
class CallWork:
    """Describe a call: a request to a service other than an inference engine."""

    method: str
    path: str
    headers_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
