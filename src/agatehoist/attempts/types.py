"""Events that a request meets and the decisions that follow."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from agatehoist.core.identity import AttemptId
from agatehoist.placement.types import Offer
from agatehoist.refusals.types import Refusal


class Fault(enum.StrEnum):
    """Name what is wrong with a frame."""

    LATE = "late"
    REPEATED = "repeated"
    GAP = "gap"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Rules:
    """Say how one request may be tried; the deadline is in epoch seconds."""

    idempotent: bool
    deadline: float
    max_tokens: int = 0
    prompt_tokens: int = 0
    max_dispatches: int | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """Name an attempt and the sidecar that has it."""

    attempt_id: AttemptId
    host: str
    sidecar_incarnation: str


@dataclass(frozen=True, slots=True)
class Offered:
    """Bring the offers of a placement, best first."""

    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Report that no byte of a dispatch was written."""

    attempt_id: AttemptId
    detail: str


@dataclass(frozen=True, slots=True)
class Frame:
    """Bring a message of a sidecar about an attempt."""

    message: Any


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Report that the connection which carries an attempt ended."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ResumeFailed:
    """Report that an attempt's sidecar isn't reached or has restarted."""

    attempt_id: AttemptId
    restarted: bool


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Report that nobody waits for the answer."""


Event = (
    Offered | NotWritten | Frame | LinkLost | ResumeFailed | DeadlinePassed | CallerGone
)


@dataclass(frozen=True, slots=True)
class Place:
    """Ask for offers at a time in epoch seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand the work to an offer, behind the texts delivered so far."""

    target: Target
    offer: Offer
    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Read an attempt's answer again from a token on, at an epoch time."""

    target: Target
    first: int
    at: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell a sidecar that an attempt isn't wanted any more."""

    target: Target


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass tokens on to the caller; first counts from the start of the answer."""

    first: int
    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """End the request with the last message of a whole answer."""

    message: Any


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request without a whole answer."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Drop:
    """Leave a frame out and count it."""

    fault: Fault


Decision = Place | Submit | ResumeAt | CancelAttempt | Deliver | Finish | Refuse | Drop
