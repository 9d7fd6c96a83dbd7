"""Data types of the scheduler's events and decisions."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.refusals.types import Refusal

MIN_WEIGHT = 0.01
# Endpoint priority of long jobs of organisations that have had their fair share.
BACKGROUND_PRIORITY = Priority.LONG + 1


@dataclass(frozen=True, slots=True)
class SchedulerLimits:
    """Limit what an endpoint runs at once and how far jobs may be reordered.

    slots limits the running jobs, prefill_slots those of them without a first token,
    and long_prefill_slots the long ones of these. max_queued limits the queued jobs.

    order is a name in the registry ORDERS; the other fields of this paragraph are for
    the fair order. A long job has aged after ageing_s, and a job is started in the base
    order at least as often. A short job may start while the virtual time of its
    organisation exceeds the least one by at most credit_tokens. That of an idle
    organisation falls behind the current one by at most idle_credit_tokens.

    single_flight lets jobs wait for a shared prefix that another job is computing.
    deadline_rule refuses jobs that can't meet their deadline.
    """

    slots: int = 64
    prefill_slots: int = 4
    long_prefill_slots: int = 1
    max_queued: int = 4096
    ageing_s: float = 20.0
    credit_tokens: float = 98_304.0
    idle_credit_tokens: float = 131_072.0
    order: str = "fair"
    single_flight: bool = True
    deadline_rule: bool = True


@dataclass(frozen=True, slots=True)
class Job:
    """Describe a job to schedule; the deadline is in epoch seconds.

    missing_tokens are the prompt tokens that aren't cached.
    """

    attempt_id: AttemptId
    organisation: str
    priority: Priority
    deadline: float
    prompt_tokens: int = 0
    missing_tokens: int = 0
    max_tokens: int = 1
    levels: tuple[PrefixLevel, ...] = ()
    weight: float = 1.0

    @property
    def cached_tokens(self) -> int:
        """Return the prompt tokens that are believed to be cached."""
        return max(0, self.prompt_tokens - self.missing_tokens)

    @property
    def fair_weight(self) -> float:
        """Return the weight, raised to a minimum above zero."""
        return max(MIN_WEIGHT, self.weight)


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """Hold a job that has not started, with its expected answer length."""

    job: Job
    arrived_at: float
    answer_tokens: float

    @property
    def cost_tokens(self) -> float:
        """Return the tokens charged to the organisation when the job starts."""
        return self.job.missing_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Usage:
    """Count the tokens that a finished job computed."""

    computed_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True)
class Start:
    """Start a job now; the endpoint runs lower priority values first.

    prefill_s is the expected time until its first token, including the prefills that
    the endpoint computes before it.
    """

    attempt_id: AttemptId
    endpoint_priority: int = 0
    prefill_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse a job that has not run."""

    attempt_id: AttemptId
    refusal: Refusal


Decision = Start | Reject


@dataclass(frozen=True, slots=True)
class LongSlots:
    """Say whether a slot for a long prefill is free.

    background_free is for long jobs with BACKGROUND_PRIORITY, foreground_free for
    other long jobs.
    """

    foreground_free: bool = True
    background_free: bool = True


@dataclass(frozen=True, slots=True)
class WorkAhead:
    """Count the queued work that would run before a new job."""

    prefill_tokens: float = 0.0
    jobs: float = 0.0
