"""Helpers for the scheduler tests: jobs, and a run of them on a single slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Job, SchedulerLimits, Start, Usage
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel, Priority

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.admission.types import Decision

SHORT = Priority.SHORT
LONG = Priority.LONG
ONE_SLOT = SchedulerLimits(slots=1, ageing_s=10.0, credit_tokens=65_536.0)


def attempt(number: int) -> AttemptId:
    """Return the attempt id with a sequence number."""
    return AttemptId("test", number)


def make_job(
    number: int, organisation: str, priority: Priority, tokens: int, **fields: Any
) -> Job:
    """Return a job with no cached prompt tokens."""
    fields = {"deadline": 1e6, "max_tokens": 0, **fields}
    return Job(
        attempt(number),
        organisation,
        priority,
        prompt_tokens=tokens,
        missing_tokens=tokens,
        **fields,
    )


def levels(*pairs: tuple[str, int]) -> tuple[PrefixLevel, ...]:
    """Return prefix levels from pairs of a name and a token count."""
    return tuple(PrefixLevel(name.encode(), tokens) for name, tokens in pairs)


def started(decisions: Iterable[Decision]) -> list[int]:
    """Return the sequence numbers of the attempts that start."""
    return [e.attempt_id.sequence for e in decisions if isinstance(e, Start)]


def run_one_at_a_time(
    limits: SchedulerLimits, jobs: list[Job], job_duration_s: float
) -> list[int]:
    """Submit all jobs at once and return the order in which they start."""
    scheduler = Scheduler(limits)
    now = 0.0
    order: list[int] = []
    for each in jobs:
        order += started(scheduler.submit(each, now))
    by_number = {each.attempt_id.sequence: each for each in jobs}
    for number in order:
        now += job_duration_s
        usage = Usage(by_number[number].missing_tokens, 0)
        order += started(scheduler.finish(attempt(number), now, usage))
    return order
