"""Events of a request and the decisions of its state machine."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from agatehoist.core.identity import AttemptId
from agatehoist.placement.types import Offer
from agatehoist.refusals.types import Refusal


class EventFault(enum.StrEnum):
    """Say why an event of an attempt is dropped.

    LATE: the attempt is no longer the current one, or the request has ended.
    REPEATED: all its pieces have arrived before.
    GAP: pieces before those of the event, or before the end, are missing.
    MALFORMED: the end counts fewer pieces than have arrived.
    """

    LATE = "late"
    REPEATED = "repeated"
    GAP = "gap"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Limit the attempts of one request; the deadline is in epoch seconds.

    A request that is idempotent or `cancellable`, such as a stream, is cancelled when
    the caller disconnects, the deadline passes or the answer can't be resumed. Any
    other runs to its end.

    `max_dispatches` limits the submits and `max_runs` those that may have run; None
    means no limit. `max_offer_searches` limits the searches for offers, except those
    that only replace old offers. An answer that breaks off after `max_tokens` pieces is
    complete, and `prompt_tokens` is then reported at its end. Each piece counts as one
    token; `max_tokens` 0 means no limit.

    If `overlapping`, an attempt whose endpoint is silent goes on beside its replacement
    and the first reply counts; otherwise it ends as soon as the replacement is sent.

    Unless the rules say `keeps_pieces`, of the pieces that were delivered only the last
    one is kept, and their number.
    """

    idempotent: bool
    deadline: float
    max_tokens: int = 0
    prompt_tokens: int = 0
    max_dispatches: int | None = None
    max_runs: int | None = None
    max_offer_searches: int = 6
    cancellable: bool = False
    overlapping: bool = False
    keeps_pieces: bool = True


@dataclass(frozen=True, slots=True)
class Target:
    """Identify an attempt and the sidecar that it was submitted to.

    In a gateway, the fields of the sidecar hold the name and lifetime of the endpoint.
    """

    attempt_id: AttemptId
    host: str
    sidecar_incarnation: str


@dataclass(frozen=True, slots=True)
class Offered:
    """Report the offers that a search found, best first."""

    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Report that the request isn't sent to any endpoint, as none has room in time."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Report that no byte of a submit was written to the connection."""

    attempt_id: AttemptId
    detail: str


@dataclass(frozen=True, slots=True)
class Written:
    """Report that a submit was written to the connection of its endpoint."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class EndpointSilent:
    """Report that an endpoint, which may still answer, has sent nothing for long."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ReplacementsOffered:
    """Report offers for the replacement of an attempt whose endpoint is silent."""

    attempt_id: AttemptId
    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class Ending:
    """Describe the end of a complete answer; the token counts are of the prompt.

    `StreamEnded` reports it, and it becomes the result of `Finish`.
    """

    piece_count: int
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PiecesArrived:
    """Report new pieces of an answer, from index `first` on; indexes start at 0.

    A piece is the text of one token in a router and one stream event in a gateway. If
    all are comments, which an endpoint sends while it waits, the answer `goes_on` no
    further.
    """

    attempt_id: AttemptId
    first: int
    pieces: tuple[Any, ...]
    goes_on: bool = True


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Report that the endpoint has sent all pieces of the answer."""

    attempt_id: AttemptId
    ending: Ending


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """Report a complete answer that isn't a stream; `reply` is passed on unchanged."""

    attempt_id: AttemptId
    reply: Any


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Report that an attempt was refused and gets no answer."""

    attempt_id: AttemptId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Report that the connection that carries an attempt was closed."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class ResumeFailed:
    """Report that an attempt can't be resumed.

    If `restarted`, its sidecar has restarted and no longer has the attempt; otherwise
    the sidecar can't be reached.
    """

    attempt_id: AttemptId
    restarted: bool


@dataclass(frozen=True, slots=True)
class RunMoved:
    """Report that a run was stopped and can continue at the endpoint of an offer.

    A run is the generation of one answer at an endpoint. The endpoint of the offer gets
    `run_name`, by which it finds the run to continue. If it says that it didn't, the
    run goes on at the endpoint of `fallback`, which has kept it too. A retry has been
    taken from the budget for each of the two, at an epoch time.
    """

    attempt_id: AttemptId
    offer: Offer
    run_name: str
    fallback: Offer | None = None
    retries_taken_at: float = 0.0


@dataclass(frozen=True, slots=True)
class MayBeStopped:
    """Report that a run may be stopped, and where it could go on then.

    The endpoint of the offer rejects `run_name` if it hasn't stopped the run.
    """

    attempt_id: AttemptId
    offer: Offer
    run_name: str


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Report that the deadline of the request has passed."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Report that the caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class ProcessStopping:
    """Report that this process ends before the request can end."""


AnswerEvent = PiecesArrived | StreamEnded | ReplyArrived | AttemptRefused

Event = (
    Offered
    | NotAdmitted
    | NotWritten
    | Written
    | EndpointSilent
    | ReplacementsOffered
    | AnswerEvent
    | LinkLost
    | ResumeFailed
    | RunMoved
    | MayBeStopped
    | DeadlinePassed
    | CallerDisconnected
    | ProcessStopping
)


@dataclass(frozen=True, slots=True)
class FindOffers:
    """Search for offers at a time in epoch seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class FindReplacement:
    """Search for endpoints that can take over at once from a silent one."""

    target: Target


@dataclass(frozen=True, slots=True)
class WaitOn:
    """Go on waiting for an attempt whose endpoint is silent."""

    target: Target
    reason: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit the work to an endpoint, to continue after `pieces`.

    `replaced` is the attempt whose silent endpoint this one replaces, if any.
    """

    target: Target
    offer: Offer
    pieces: tuple[Any, ...]
    replaced: Target | None = None


@dataclass(frozen=True, slots=True)
class ContinueRun:
    """Continue a run that was stopped, after `pieces` (gateways only)."""

    target: Target
    offer: Offer
    pieces: tuple[Any, ...]
    run_name: str


@dataclass(frozen=True, slots=True)
class ResumeAnswer:
    """Resume an answer from piece `first` on, at an epoch time."""

    target: Target
    first: int
    at: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the sidecar to cancel an attempt."""

    target: Target


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send pieces to the caller, from index `first` of the answer on."""

    first: int
    pieces: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """End the request with the end of a stream or the complete reply."""

    result: Any


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request with a refusal; pieces may have been delivered before."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Drop:
    """Ignore an event and count it by its fault."""

    fault: EventFault


Decision = (
    FindOffers
    | FindReplacement
    | WaitOn
    | Submit
    | ContinueRun
    | ResumeAnswer
    | CancelAttempt
    | Deliver
    | Finish
    | Refuse
    | Drop
)
