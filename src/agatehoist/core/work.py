"""Requests as decoded by a front end."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Priority(enum.IntEnum):
    """Rank the scheduling classes of requests; a lower value runs first."""

    SHORT = 0
    LONG = 1


class Run(enum.StrEnum):
    """Tell whether a request was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PrefixLevel:
    """Identify a prompt prefix by its digest; its length is estimated in tokens."""

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
    """Describe a request to a service other than an inference engine."""

    method: str
    path: str
    headers_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
