"""Tests of the start order between organisations and priorities."""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.admission.fair_order import FairOrder
from agatehoist.admission.flow import Flow
from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import LongSlots, SchedulerLimits, Usage, WaitingJob
from tests.test_admission.support import (
    LONG,
    ONE_SLOT,
    SHORT,
    attempt,
    make_job,
    run_one_at_a_time,
)

if TYPE_CHECKING:
    from agatehoist.core.work import Priority

ARRIVAL_ORDER = replace(ONE_SLOT, order="arrival")
NO_AGEING = replace(ONE_SLOT, ageing_s=math.inf)
TWO_LONG_QUEUES = [("a", LONG, 1000)] * 5 + [("b", LONG, 1000)] * 2
SHORT_BEHIND_LONGS = [("a", LONG, 1000)] * 3 + [("b", SHORT, 10)]
LONG_AMONG_OTHERS_SHORTS = [("b", SHORT, 10), ("a", LONG, 1000)] + [
    ("b", SHORT, 10)
] * 30
LONG_AMONG_OWN_SHORTS = [("a", SHORT, 10), ("a", LONG, 1000)] + [("a", SHORT, 10)] * 30
SHORTS_BEYOND_CREDIT = [("a", SHORT, 30_000)] * 6 + [("b", LONG, 1000)]

# Case, limits, submitted jobs, a job's number and its position among starts 1 s apart.
# The light organisation is the one with few jobs, classes are priorities, and "credit"
# is the limit up to which short jobs may start ahead of others.
ORDER_CASES = [
    ("fair_to_the_light", ONE_SLOT, TWO_LONG_QUEUES, 5, 1),
    ("arrival_is_not", ARRIVAL_ORDER, TWO_LONG_QUEUES, 5, 5),
    ("short_first", ONE_SLOT, SHORT_BEHIND_LONGS, 3, 1),
    ("arrival_has_no_classes", ARRIVAL_ORDER, SHORT_BEHIND_LONGS, 3, 3),
    ("long_ages", ONE_SLOT, LONG_AMONG_OTHERS_SHORTS, 1, 10),
    ("without_ageing_last", NO_AGEING, LONG_AMONG_OTHERS_SHORTS, 1, 31),
    ("own_long_ages", ONE_SLOT, LONG_AMONG_OWN_SHORTS, 1, 10),
    ("own_long_without_ageing", NO_AGEING, LONG_AMONG_OWN_SHORTS, 1, 31),
    (
        "credit_ends",
        replace(ONE_SLOT, idle_credit_tokens=0.0),
        SHORTS_BEYOND_CREDIT,
        6,
        3,
    ),
    (
        "unbounded_credit",
        replace(ONE_SLOT, idle_credit_tokens=0.0, credit_tokens=math.inf),
        SHORTS_BEYOND_CREDIT,
        6,
        6,
    ),
]

MAX_COST_TOKENS = 100
BOUND_LIMITS = SchedulerLimits(
    ageing_s=5.0, credit_tokens=150.0, idle_credit_tokens=200.0
)
WEIGHTS_BY_ORGANISATION = {"a": 1.0, "b": 0.5, "c": 2.0, "d": 1.0}
ARRIVAL_SHARES = st.sampled_from([1, 1, 5, 50])
BACKLOG_JOBS = 40
TURN_COUNT = 300


class OrderTests(unittest.TestCase):
    @parameterized.expand(ORDER_CASES)
    def test_position_in_start_order(
        self,
        _name: str,
        limits: SchedulerLimits,
        work: list[tuple[str, Priority, int]],
        number: int,
        position: int,
    ) -> None:
        jobs = [make_job(index, *each) for index, each in enumerate(work)]
        order = run_one_at_a_time(limits, jobs, 1.0)
        self.assertEqual(sorted(order), list(range(len(jobs))))
        self.assertEqual(order.index(number), position)

    @parameterized.expand([(1.0, 10), (3.0, 15)])
    def test_starts_are_shared_by_weight(self, weight: float, starts: int) -> None:
        jobs = [make_job(n, "a", LONG, 1000, weight=weight) for n in range(40)]
        jobs += [make_job(40 + n, "b", LONG, 1000) for n in range(40)]
        order = run_one_at_a_time(replace(ONE_SLOT, idle_credit_tokens=0.0), jobs, 0.1)
        self.assertAlmostEqual(sum(n < 40 for n in order[:20]), starts, delta=1)


class EndpointPriorityTests(unittest.TestCase):
    def test_long_work_beyond_the_fair_share_runs_in_the_background(self) -> None:
        scheduler = Scheduler(SchedulerLimits(idle_credit_tokens=100.0))
        now = 0.0
        for number in range(3):
            scheduler.submit(make_job(number, "a", LONG, 1000), now)
        starts = [scheduler.finish(attempt(n), now, Usage(1000, 0)) for n in range(2)]
        # 1 is the priority of long jobs, 2 that of long jobs in the background.
        self.assertEqual([each[0].endpoint_priority for each in starts], [2, 2])
        self.assertEqual(scheduler.submit(make_job(3, "a", LONG, 1000), now), ())
        other_decisions = scheduler.submit(make_job(4, "b", LONG, 1000), now)
        self.assertEqual(other_decisions[0].endpoint_priority, 1)


class FairOrderTests(unittest.TestCase):
    def test_idle_organisations_are_forgotten(self) -> None:
        order = FairOrder(SchedulerLimits())
        for number in range(2000):
            job = make_job(number, f"o{number}", LONG, 40_000)
            order.push(WaitingJob(job, 0.0, 0.0), 0.0)
            order.push(
                WaitingJob(make_job(-number - 1, "x", LONG, 40_000), 0.0, 0), 0.0
            )
            for _ in range(2):
                pick = order.select(0.0, LongSlots())
                assert pick is not None
                order.commit(pick, 0.0)
        self.assertLess(order.organisation_count, 40)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.floats(0, 1), st.lists(ARRIVAL_SHARES, min_size=4))
    def test_aged_long_work_waits_for_bounded_work_of_others(
        self, seed: int, short_share: float, shares: list[int]
    ) -> None:
        rng = random.Random(seed)
        order = FairOrder(BOUND_LIMITS)
        monitor = StarvationMonitor()
        number = 0
        for turn in range(TURN_COUNT):
            now = float(turn)
            while len(order) < BACKLOG_JOBS:
                number += 1
                name = rng.choices(
                    sorted(WEIGHTS_BY_ORGANISATION),
                    shares[: len(WEIGHTS_BY_ORGANISATION)],
                )[0]
                priority = SHORT if rng.random() < short_share else LONG
                cost = rng.randint(1, MAX_COST_TOKENS)
                job = make_job(
                    number,
                    name,
                    priority,
                    cost,
                    weight=WEIGHTS_BY_ORGANISATION[name],
                )
                order.push(WaitingJob(job, now, 0.0), now)
                monitor.record_queued(name, priority, now)
            monitor.snapshot_aged(now)
            pick = order.select(now, LongSlots())
            assert pick is not None
            order.commit(pick, now)
            monitor.record_start(pick.waiting, now)
            monitor.drop_idle(order)
            self.assertLessEqual(monitor.excess(), 0.0)


class StarvationMonitor:
    """Sum the tokens that others start while an organisation's long job is aged."""

    def __init__(self) -> None:
        self._served: Counter[str] = Counter()
        self._aged_at: dict[str, float] = {}
        self._served_at_ageing: dict[str, Counter[str]] = {}

    def record_queued(self, organisation: str, priority: Priority, now: float) -> None:
        """Start the ageing of an organisation's oldest long job."""
        if priority is LONG:
            self._aged_at.setdefault(organisation, now + BOUND_LIMITS.ageing_s)

    def snapshot_aged(self, now: float) -> None:
        """Record the tokens served so far when a long job becomes aged."""
        for organisation, aged_at in self._aged_at.items():
            if aged_at <= now:
                served = Counter(self._served)
                self._served_at_ageing.setdefault(organisation, served)

    def excess(self) -> float:
        """Return the largest excess of an organisation's tokens over the bound."""
        worst = -math.inf
        for waiting, before in self._served_at_ageing.items():
            for other in set(WEIGHTS_BY_ORGANISATION) - {waiting}:
                served = self._served[other] - before[other]
                worst = max(worst, served - _max_tokens_served(other, waiting))
        return worst

    def record_start(self, waiting: WaitingJob, now: float) -> None:
        """Count a start; after a long job, restart the ageing of its organisation."""
        name = waiting.job.organisation
        self._served[name] += waiting.job.missing_tokens
        if waiting.job.priority is LONG:
            self._aged_at[name] = now + BOUND_LIMITS.ageing_s
            self._served_at_ageing.pop(name, None)

    def drop_idle(self, order: FairOrder) -> None:
        """Stop the ageing of organisations that queue no long work."""
        for name in tuple(self._aged_at):
            if not len(order._flows_by_organisation.get(name, Flow(0)).long_jobs):
                del self._aged_at[name]
                self._served_at_ageing.pop(name, None)


def _max_tokens_served(other: str, waiting: str) -> float:
    """Return the tokens that other may start while waiting has an aged long job.

    In virtual time, other may begin behind the current one by the idle credit, and
    waiting may be ahead of it by the credit and one job. Other starts no job once it is
    past waiting by the credit. A margin of two jobs is added.
    """
    credit = 2 * BOUND_LIMITS.credit_tokens + BOUND_LIMITS.idle_credit_tokens
    virtual_time_span = credit + MAX_COST_TOKENS / WEIGHTS_BY_ORGANISATION[waiting]
    return WEIGHTS_BY_ORGANISATION[other] * virtual_time_span + 2 * MAX_COST_TOKENS
