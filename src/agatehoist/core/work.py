"""Requests after a front end has decoded them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Priority(enum.IntEnum):
    """Order the classes of work; lower runs first."""

    SHORT = 0
    LONG = 1


class Run(enum.StrEnum):
    """Say whether the work of a request was run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PrefixLevel:
    """Name a prompt prefix by digest, with its length in estimated tokens."""

    digest: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class Continuation:
    """Hold the part of an answer that was delivered before."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CompletionWork:
    """Carry one completion for an engine."""

    path: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    continuation: Continuation | None = None


@dataclass(frozen=True, slots=True)
class CallWork:
    """Carry one call of a plain service."""

    method: str
    path: str
    headers_by_name: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
