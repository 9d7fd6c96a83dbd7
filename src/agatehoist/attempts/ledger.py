"""Record of the attempts on a sidecar, which decides on submits and resumes."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.refusals.kinds import (
    AnswerNotKept,
    DeadlineExceeded,
    Leaving,
    NoEndpoint,
    NotStarted,
    StalePlacement,
)
from agatehoist.refusals.types import Refusal

if TYPE_CHECKING:
    from agatehoist.core.identity import AttemptId, EndpointIdentity
    from agatehoist.protocol.messages import Assignment, Resume

RETENTION_AFTER_DEADLINE_S = 30.0
MAX_ENTRIES = 8192


class Phase(enum.Enum):
    """Say whether an attempt has started or must never start.

    An attempt is blocked if a resume for it arrives before its submit.
    """

    STARTED = enum.auto()
    BLOCKED = enum.auto()


@dataclass(frozen=True, slots=True)
class Entry:
    """Record an attempt until its retention time after the deadline has passed."""

    organisation: str
    deadline: float
    phase: Phase


@dataclass(frozen=True, slots=True)
class Start:
    """Run the attempt."""


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send the answer of the attempt, from the requested piece on."""


@dataclass(frozen=True, slots=True)
class Ignore:
    """Ignore a repeated message."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer with a refusal."""

    refusal: Refusal


class AttemptLedger:
    """Start each attempt id at most once.

    Entries are kept until the deadline plus the retention time, and submits after the
    deadline are refused. So if no entry for an id is found before the end of the
    retention time, the attempt was never started.
    """

    def __init__(self) -> None:
        self._entries_by_id: dict[AttemptId, Entry] = {}

    def on_submit(
        self,
        assignment: Assignment,
        identity: EndpointIdentity,
        ready: bool,
        now: float,
    ) -> Start | Ignore | Reject:
        """Decide whether an attempt may start; `now` is in epoch seconds."""
        entry = self._entries_by_id.get(assignment.attempt_id)
        if entry is not None:
            if entry.phase is Phase.STARTED:
                return Ignore()
            return Reject(NotStarted.refuse("the attempt must not start").refusal)
        refusal = self._check_submit(assignment, identity, ready, now)
        if refusal is not None:
            return Reject(refusal)
        self._entries_by_id[assignment.attempt_id] = Entry(
            assignment.organisation, assignment.deadline, Phase.STARTED
        )
        return Start()

    def on_resume(self, resume: Resume, now: float) -> SendAnswer | Reject:
        """Decide how to answer a router that resumes; `now` is in epoch seconds.

        An unknown attempt is blocked: a later submit is refused.
        """
        entry = self._entries_by_id.get(resume.attempt_id)
        if entry is None:
            return Reject(self._block_start(resume, now))
        if entry.phase is Phase.BLOCKED:
            return Reject(NotStarted.refuse("the attempt must not start").refusal)
        if entry.organisation != resume.organisation:
            # The refusal says no more than if there were no answer, so that another
            # organisation doesn't learn of the attempt.
            return Reject(
                AnswerNotKept.refuse("no answer is kept for the attempt").refusal
            )
        return SendAnswer()

    def sweep(self, now: float) -> None:
        """Remove the entries whose retention time has passed."""
        for attempt_id, entry in tuple(self._entries_by_id.items()):
            if entry.deadline + RETENTION_AFTER_DEADLINE_S < now:
                del self._entries_by_id[attempt_id]

    def _block_start(self, resume: Resume, now: float) -> Refusal:
        if resume.deadline + RETENTION_AFTER_DEADLINE_S <= now:
            return AnswerNotKept.refuse("the answer is no longer kept").refusal
        if len(self._entries_by_id) >= MAX_ENTRIES:
            return AnswerNotKept.refuse("the record of attempts is full").refusal
        self._entries_by_id[resume.attempt_id] = Entry(
            resume.organisation, resume.deadline, Phase.BLOCKED
        )
        return NotStarted.refuse(
            "the attempt had not started and can't start now"
        ).refusal

    def _check_submit(
        self,
        assignment: Assignment,
        identity: EndpointIdentity,
        ready: bool,
        now: float,
    ) -> Refusal | None:
        if not ready:
            return Leaving.refuse("the endpoint takes no new work").refusal
        if assignment.identity != identity:
            detail = "the endpoint has changed since the probe"
            return StalePlacement.refuse(detail).refusal
        if assignment.deadline <= now:
            detail = "the deadline passed before the start"
            return DeadlineExceeded.refuse(detail).refusal
        if len(self._entries_by_id) >= MAX_ENTRIES:
            return NoEndpoint.refuse("the record of attempts is full").refusal
        return None
