"""Requests and answers between a front end and the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.work import CallWork, CompletionWork, Priority


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Ask a model for a completion; the deadline is in epoch seconds."""

    organisation: str
    model: str
    parts: tuple[str, ...]
    work: CompletionWork
    priority: Priority
    deadline: float


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Call a plain service; the deadline is in epoch seconds."""

    organisation: str
    service: str
    work: CallWork
    idempotent: bool
    deadline: float


@dataclass(frozen=True, slots=True)
class Started:
    """Say which endpoint took a request."""

    host: str


@dataclass(frozen=True, slots=True)
class Delta:
    """Carry the next piece of a completion."""

    text: str


@dataclass(frozen=True, slots=True)
class Finished:
    """End a whole completion."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """Carry the whole answer of a service."""

    host: str
    status: int
    headers_by_name: dict[str, str]
    body: bytes
