"""Events that a request meets and the decisions that follow."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from agatehoist.core.identity import AttemptId
from agatehoist.placement.types import Offer
from agatehoist.refusals.types import Refusal


class Fault(enum.StrEnum):
    """Name what is wrong with an event about an attempt."""

    LATE = "late"
    REPEATED = "repeated"
    GAP = "gap"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Rules:
    """Say how one request may be tried; the deadline is in epoch seconds.

    What can't be repeated may still be cancelled, such as a stream.
    """

    idempotent: bool
    deadline: float
    max_tokens: int = 0
    prompt_tokens: int = 0
    max_dispatches: int | None = None
    max_runs: int | None = None
    max_placements: int = 6
    cancellable: bool = False


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
class Ending:
    """Describe an answer that ended whole; counts are in pieces and tokens."""

    piece_count: int
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PiecesArrived:
    """Bring pieces of an answer; first counts from the start of the answer."""

    attempt_id: AttemptId
    first: int
    pieces: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Report that an endpoint has sent all pieces of an answer."""

    attempt_id: AttemptId
    ending: Ending


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """Bring a whole answer that isn't a stream, in the form of its front end."""

    attempt_id: AttemptId
    reply: Any


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Report that an attempt gets no answer."""

    attempt_id: AttemptId
    refusal: Refusal


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
class RunMoved:
    """Report that a run was stopped and can be gone on with at an offer."""

    attempt_id: AttemptId
    offer: Offer
    run_name: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Report that nobody waits for the answer."""


AnswerEvent = PiecesArrived | StreamEnded | ReplyArrived | AttemptRefused

Event = (
    Offered
    | NotWritten
    | AnswerEvent
    | LinkLost
    | ResumeFailed
    | RunMoved
    | DeadlinePassed
    | CallerGone
)


@dataclass(frozen=True, slots=True)
class Place:
    """Ask for offers at a time in epoch seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand the work to an offer, behind the pieces delivered so far."""

    target: Target
    offer: Offer
    pieces: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ContinueRun:
    """Go on with a run that was moved, behind the pieces delivered so far."""

    target: Target
    offer: Offer
    pieces: tuple[Any, ...]
    run_name: str


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Read an attempt's answer again from a piece on, at an epoch time."""

    target: Target
    first: int
    at: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell a sidecar that an attempt isn't wanted any more."""

    target: Target


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass pieces on to the caller; first counts from the start of the answer."""

    first: int
    pieces: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """End the request with the ending of a stream or the whole reply."""

    result: Any


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request without a whole answer."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Drop:
    """Leave an event out and count it."""

    fault: Fault


Decision = (
    Place
    | Submit
    | ContinueRun
    | ResumeAt
    | CancelAttempt
    | Deliver
    | Finish
    | Refuse
    | Drop
)
