"""Scheduler that decides which jobs an endpoint runs and when."""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import replace
from typing import TYPE_CHECKING

# Imported to register the fair order.
import agatehoist.admission.fair_order  # noqa: F401
from agatehoist.admission.inflight_prefills import InflightPrefills
from agatehoist.admission.order import ORDERS
from agatehoist.admission.pending_prefills import PROBE_OVERHEAD_S
from agatehoist.admission.rates import LearnedRates
from agatehoist.admission.running_jobs import RunningJobs
from agatehoist.admission.types import (
    Decision,
    Job,
    Reject,
    SchedulerLimits,
    Start,
    Usage,
    WaitingJob,
)
from agatehoist.admission.waiting_jobs import WaitingJobs
from agatehoist.core.work import Priority
from agatehoist.refusals.kinds import DeadlineExceeded, Overloaded, QueueFull

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agatehoist.admission.inflight_prefills import InflightPrefill
    from agatehoist.core.identity import AttemptId
    from agatehoist.core.work import PrefixLevel
    from agatehoist.refusals.types import RequestRefusedError

Decisions = tuple[Decision, ...]


class Scheduler:
    """Decide from submissions, first tokens and ends of jobs what starts or is refused.

    Each event method takes the time in epoch seconds and returns the decisions
    that follow from the event.
    """

    def __init__(
        self,
        limits: SchedulerLimits,
        matched_tokens: Callable[[Sequence[PrefixLevel]], int] | None = None,
    ) -> None:
        self.rates = LearnedRates()
        self._limits = limits
        self._matched_tokens = matched_tokens
        self._order = ORDERS[limits.order](limits)
        self._running = RunningJobs(self.rates)
        self._inflight = InflightPrefills()
        self._waiting = WaitingJobs()
        self._sequences = itertools.count()
        self._expiries: list[tuple[float, int, AttemptId]] = []

    @property
    def queued(self) -> int:
        """Return the number of jobs that have not started."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of jobs that hold a slot."""
        return len(self._running)

    @property
    def wake_at(self) -> float | None:
        """Return when to call tick next in epoch seconds, or None if never."""
        self._drop_stale_expiries()
        due_times = [self._inflight.next_overdue_at()]
        if self._expiries:
            due_times.append(self._expiries[0][0])
        return min((each for each in due_times if each is not None), default=None)

    def submit(self, job: Job, now: float) -> Decisions:
        """Queue a job, or refuse it if it can't meet its deadline."""
        answer_tokens = min(job.max_tokens, self.rates.answer_tokens)
        waiting = WaitingJob(job, now, answer_tokens)
        late = self._reject_late(waiting, now)
        if late is not None:
            return (late,)
        refused = self._refuse_newest_if_full(waiting, now)
        if refused is not None and refused.attempt_id == job.attempt_id:
            return (refused,)
        self._enqueue(waiting, now)
        decisions = self._fill_slots(now)
        return (*decisions,) if refused is None else (refused, *decisions)

    def first_token(self, attempt_id: AttemptId, now: float) -> Decisions:
        """Record the end of a job's prefill and release the jobs that wait for it."""
        running = self._running.first_token(attempt_id, now)
        if running is None:
            return ()
        self._release_followers(attempt_id, now, prefix_cached=True)
        return self.tick(now)

    def finish(
        self, attempt_id: AttemptId, now: float, usage: Usage | None = None
    ) -> Decisions:
        """Record that a job has ended, or cancel it if it is still queued."""
        self._withdraw(attempt_id)
        running = self._running.finish(attempt_id, usage, now)
        if running is not None:
            self._release_followers(attempt_id, now, prefix_cached=usage is not None)
            self._correct_charge(running.waiting, usage)
        if not self.queued and not self.running:
            self._order.reset()
        return self.tick(now)

    def observe(self, running: int, now: float) -> Decisions:
        """Estimate foreign jobs from the endpoint's own count, which lags behind."""
        self._running.update_foreign_jobs(running, now)
        return self.tick(now)

    def tick(self, now: float) -> Decisions:
        """Refuse late jobs, release followers of overdue prefills, fill free slots."""
        for inflight in self._inflight.overdue(now):
            self._release_followers(inflight.leader, now, prefix_cached=False)
        return (*self._expire(now), *self._fill_slots(now))

    def ttft_estimate(
        self,
        missing_tokens: float,
        organisation: str = "",
        priority: Priority = Priority.SHORT,
        levels: Sequence[PrefixLevel] = (),
    ) -> float:
        """Return the expected time to first token of a new job in seconds."""
        missing_tokens = min(missing_tokens, self._tokens_after_inflight_prefix(levels))
        ahead = self._order.ahead(organisation, priority)
        endpoint_priority = self._order.endpoint_priority(organisation, priority)
        pending_tokens = self._running.pending_tokens(endpoint_priority)
        tokens = pending_tokens + ahead.prefill_tokens
        prefill_s = (tokens + missing_tokens) / self.rates.prefill_tokens_per_s
        return PROBE_OVERHEAD_S + max(prefill_s, self._slot_wait_s(ahead.jobs))

    def placement_estimate(
        self,
        missing_tokens: float,
        organisation: str,
        priority: Priority,
        levels: Sequence[PrefixLevel] = (),
    ) -> float:
        """Return the time to first token to report to a probe, in seconds.

        It is at least the prefill time of the whole backlog. A new job may be started
        ahead of queued jobs, but then these wait longer, so an endpoint with a backlog
        must not report the estimate of an idle one.
        """
        tokens = (
            self._running.pending_prefills.pending_tokens
            + self._waiting.missing_tokens
            + missing_tokens
        )
        backlog_s = PROBE_OVERHEAD_S + tokens / self.rates.prefill_tokens_per_s
        own_s = self.ttft_estimate(missing_tokens, organisation, priority, levels)
        return max(own_s, backlog_s)

    def _tokens_after_inflight_prefix(self, levels: Sequence[PrefixLevel]) -> float:
        prefix_match = (
            self._inflight.longest_prefix(levels)
            if self._limits.single_flight
            else None
        )
        if prefix_match is None:
            return math.inf
        return levels[-1].tokens - prefix_match.prefix_tokens

    def _slot_wait_s(self, jobs_ahead: float) -> float:
        slots = self._usable_slots()
        excess = self.running + jobs_ahead + 1 - slots
        return max(0.0, excess) * self.rates.slot_hold_s / slots

    def _usable_slots(self) -> int:
        return max(1, self._limits.slots - self._running.foreign_jobs)

    def _reject_late(self, waiting: WaitingJob, now: float) -> Reject | None:
        if not self._limits.deadline_rule:
            return None
        job = waiting.job
        ttft_s = self.ttft_estimate(
            job.missing_tokens, job.organisation, job.priority, job.levels
        )
        late_s = now + ttft_s + self._answer_s(waiting) - job.deadline
        if late_s <= 0:
            return None
        detail = "the queue is too long for the deadline"
        return _reject(job, Overloaded.refuse(detail, now + late_s))

    def _answer_s(self, waiting: WaitingJob) -> float:
        return waiting.answer_tokens / self.rates.decode_tokens_per_s

    def _refuse_newest_if_full(self, waiting: WaitingJob, now: float) -> Reject | None:
        if self.queued < self._limits.max_queued:
            return None
        newest = self._order.newest_of_longest_queue() or waiting
        if newest.job.organisation == waiting.job.organisation:
            newest = waiting
        else:
            self._withdraw(newest.job.attempt_id)
        retry_at = now + self.ttft_estimate(0, newest.job.organisation, Priority.LONG)
        return _reject(newest.job, QueueFull.refuse("the queue is full", retry_at))

    def _enqueue(self, waiting: WaitingJob, now: float) -> None:
        job = waiting.job
        self._waiting.put(waiting)
        self._order.push(waiting, now)
        prefill_s = job.missing_tokens / self.rates.prefill_tokens_per_s
        latest_start_at = job.deadline - prefill_s - self._answer_s(waiting)
        expiry = (latest_start_at, next(self._sequences), job.attempt_id)
        if self._limits.deadline_rule:
            heapq.heappush(self._expiries, expiry)

    def _withdraw(self, attempt_id: AttemptId) -> None:
        waiting = self._waiting.pop(attempt_id)
        if waiting is not None and not self._inflight.remove_follower(attempt_id):
            self._order.remove(waiting)

    def _expire(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        self._drop_stale_expiries()
        while self._expiries and self._expiries[0][0] <= now:
            attempt_id = heapq.heappop(self._expiries)[2]
            job = self._waiting[attempt_id].job
            self._withdraw(attempt_id)
            retry_at = now + self.ttft_estimate(0, job.organisation, job.priority)
            detail = "the deadline can no longer be met from the queue"
            error = DeadlineExceeded.refuse(detail, retry_at)
            decisions.append(_reject(job, error))
            self._drop_stale_expiries()
        return decisions

    def _drop_stale_expiries(self) -> None:
        while self._expiries and self._expiries[0][2] not in self._waiting:
            heapq.heappop(self._expiries)

    def _fill_slots(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._has_slot():
            long_slots = self._running.long_slots(self._limits.long_prefill_slots)
            pick = self._order.select(now, long_slots)
            if pick is None:
                break
            waiting = self._with_current_cache(pick.waiting)
            inflight = self._inflight_to_follow(
                waiting.job, pick.endpoint_priority, now
            )
            if inflight is not None:
                self._order.remove(pick.waiting)
                self._inflight.add_follower(inflight, waiting)
                continue
            self._order.commit(pick, now)
            saved_tokens = pick.waiting.cost_tokens - waiting.cost_tokens
            self._order.correct_charge(waiting.job, -saved_tokens)
            decisions.append(self._start(waiting, pick.endpoint_priority, now))
        return decisions

    def _with_current_cache(self, waiting: WaitingJob) -> WaitingJob:
        if self._matched_tokens is None:
            return waiting
        return _with_cached(waiting, self._matched_tokens(waiting.job.levels))

    def _has_slot(self) -> bool:
        if self.running >= self._usable_slots():
            return False
        return len(self._running.pending_prefills) < self._limits.prefill_slots

    def _start(self, waiting: WaitingJob, endpoint_priority: int, now: float) -> Start:
        job = waiting.job
        self._waiting.pop(job.attempt_id)
        pending_tokens = self._running.pending_tokens(endpoint_priority)
        self._running.start(waiting, endpoint_priority, now)
        prefill_s = (
            pending_tokens + job.missing_tokens
        ) / self.rates.prefill_tokens_per_s
        self._inflight.add_leader(job, now, now + prefill_s)
        return Start(job.attempt_id, endpoint_priority, prefill_s)

    def _inflight_to_follow(
        self, job: Job, endpoint_priority: int, now: float
    ) -> InflightPrefill | None:
        if not self._limits.single_flight:
            return None
        prefix_match = self._inflight.longest_prefix(job.levels, job.cached_tokens)
        if prefix_match is None:
            return None
        tokens_per_s = self.rates.prefill_tokens_per_s
        rest_tokens = max(0, job.prompt_tokens - prefix_match.prefix_tokens)
        follow_s = (
            max(0.0, prefix_match.prefill.expected_at - now)
            + rest_tokens / tokens_per_s
        )
        pending_tokens = self._running.pending_tokens(endpoint_priority)
        compute_s = (pending_tokens + job.missing_tokens) / tokens_per_s
        return prefix_match.prefill if follow_s < compute_s else None

    def _release_followers(
        self, leader: AttemptId, now: float, prefix_cached: bool
    ) -> None:
        ended_prefill = self._inflight.end_prefill(leader)
        if ended_prefill is None:
            return
        for waiting in reversed(ended_prefill.followers):
            if prefix_cached:
                waiting = _with_computed_prefix(waiting, ended_prefill.prefill)
            self._waiting.put(waiting)
            self._order.push(waiting, now, first=True)

    def _correct_charge(self, waiting: WaitingJob, usage: Usage | None) -> None:
        if usage is not None:
            actual_tokens = usage.computed_tokens + usage.answer_tokens
            self._order.correct_charge(waiting.job, actual_tokens - waiting.cost_tokens)


def _with_computed_prefix(waiting: WaitingJob, inflight: InflightPrefill) -> WaitingJob:
    computed = [inflight.tokens_by_digest.get(e.digest, 0) for e in waiting.job.levels]
    return _with_cached(waiting, max(computed))


def _with_cached(waiting: WaitingJob, cached_tokens: int) -> WaitingJob:
    job = waiting.job
    if cached_tokens <= job.cached_tokens:
        return waiting
    missing_tokens = max(0, job.prompt_tokens - cached_tokens)
    return replace(waiting, job=replace(job, missing_tokens=missing_tokens))


def _reject(job: Job, error: RequestRefusedError) -> Reject:
    return Reject(job.attempt_id, error.refusal)
