"""Requests and answers exchanged between a front end and the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.attempts.types import Target
from agatehoist.core.work import CallWork, CompletionWork, Priority


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Ask a model for a completion; the deadline is in epoch seconds.

    `parts` are the texts of the prompt in order; its prefix levels are made from them.
    """

    organisation: str
    model: str
    parts: tuple[str, ...]
    work: CompletionWork
    priority: Priority
    deadline: float


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Call a plain service; the deadline is in epoch seconds.

    `key` is the idempotency key.
    """

    organisation: str
    service: str
    work: CallWork
    idempotent: bool
    deadline: float
    key: str | None = None


@dataclass(frozen=True, slots=True)
class ResumeRequest:
    """Ask for the rest of an answer that another router began to send.

    `first` is the index of the first piece to send. `attempt_deadline` is the deadline
    with which the other router submitted the attempt, `deadline` that of this request;
    both are in epoch seconds.
    """

    organisation: str
    target: Target
    first: int
    attempt_deadline: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Started:
    """Report the attempt that runs a request, once its first output has arrived."""

    target: Target


@dataclass(frozen=True, slots=True)
class Delta:
    """Carry the next text of a completion; `until` is the token index after it."""

    text: str
    until: int
    target: Target


@dataclass(frozen=True, slots=True)
class Finished:
    """Report the end of a complete answer and its token counts."""

    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """Carry the complete answer of a service."""

    host: str
    status: int
    headers_by_name: dict[str, str]
    body: bytes
