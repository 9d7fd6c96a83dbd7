"""Tests of the scheduler's starts, refusals and single flight."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Reject, SchedulerLimits, Usage
from agatehoist.core.work import Priority, Run
from tests.test_admission.support import (
    LONG,
    ONE_SLOT,
    SHORT,
    attempt,
    levels,
    make_job,
    started,
)

SHARED_PREFIX = ("book", 20_000)
FOUR_LONG_PREFILLS = SchedulerLimits(long_prefill_slots=4)
NO_SINGLE_FLIGHT = replace(FOUR_LONG_PREFILLS, single_flight=False)

# Case, limits, the leader's tokens past the shared prefix (a book), the follower's
# priority, and whether it waits for the leader. A short job computes the prefix itself
# if it has its first token sooner in this way.
FOLLOWER_CASES = [
    ("same_book", FOUR_LONG_PREFILLS, 0, LONG, True),
    ("switched_off", NO_SINGLE_FLIGHT, 0, LONG, False),
    ("leader_is_longer", FOUR_LONG_PREFILLS, 200_000, LONG, True),
    ("short_passes_a_long_leader", FOUR_LONG_PREFILLS, 200_000, SHORT, False),
]

# Case, limits, the deadline of a job behind 40,000 tokens, and its refusal code if any.
DEADLINE_CASES = [
    ("met", ONE_SLOT, 10.0, None),
    ("missed", ONE_SLOT, 1.0, "overloaded"),
    ("rule_switched_off", replace(ONE_SLOT, deadline_rule=False), 1.0, None),
]

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "first_token", "finish", "tick", "observe"]),
        st.integers(0, 5),
        st.sampled_from(Priority),
        st.integers(0, 3),
    ),
    max_size=150,
)


class SingleFlightTests(unittest.TestCase):
    def start_leader(self, limits: SchedulerLimits, extra_tokens: int = 0) -> Scheduler:
        """Return a scheduler on which attempt 1 computes the shared prefix."""
        scheduler = Scheduler(limits)
        total = SHARED_PREFIX[1] + extra_tokens + 100
        prefix_levels = levels(SHARED_PREFIX, ("lead", total))
        scheduler.submit(make_job(1, "a", LONG, total, levels=prefix_levels), 0.0)
        return scheduler

    @parameterized.expand(FOLLOWER_CASES)
    def test_follower_waits_or_starts(
        self,
        _name: str,
        limits: SchedulerLimits,
        extra_tokens: int,
        priority: Priority,
        waits: bool,
    ) -> None:
        scheduler = self.start_leader(limits, extra_tokens)
        prefix_levels = levels(SHARED_PREFIX, ("rest", 20_200))
        follower = make_job(2, "a", priority, 20_200, levels=prefix_levels)
        self.assertEqual(started(scheduler.submit(follower, 0.1)), [] if waits else [2])

    @parameterized.expand(
        [("first_token", 0.0), ("failed", 0.0), ("overdue", 10.0), ("cancelled", 0.0)]
    )
    def test_followers_are_released(self, event: str, now: float) -> None:
        scheduler = self.start_leader(FOUR_LONG_PREFILLS)
        prefix_levels = levels(SHARED_PREFIX, ("rest", 20_200))
        scheduler.submit(make_job(2, "a", LONG, 20_200, levels=prefix_levels), 0.0)
        self.assertEqual(scheduler.running, 1)
        if event == "cancelled":
            scheduler.finish(attempt(2), now)
            self.assertEqual(scheduler.queued, 0)
            return
        if event == "first_token":
            decisions = scheduler.first_token(attempt(1), now)
        elif event == "failed":
            decisions = scheduler.finish(attempt(1), now)
        else:
            self.assertIsNotNone(scheduler.wake_at)
            decisions = scheduler.tick(now)
        self.assertEqual(started(decisions), [2])
        missing = 200 if event == "first_token" else 20_200
        pending = 20_100 if event == "overdue" else 0
        expected_s = (missing + pending) / 20_000
        self.assertAlmostEqual(decisions[0].prefill_s, expected_s, places=3)

    def test_estimate_counts_a_prefix_being_computed_as_cached(self) -> None:
        scheduler = self.start_leader(FOUR_LONG_PREFILLS)
        prefix_levels = levels(SHARED_PREFIX, ("rest", 20_200))
        estimate = scheduler.ttft_estimate(20_200, "a", LONG, prefix_levels)
        self.assertLess(estimate, 1.1)
        self.assertGreater(scheduler.ttft_estimate(20_200, "a", LONG), 2.0)


class RefusalTests(unittest.TestCase):
    @parameterized.expand(DEADLINE_CASES)
    def test_deadline(
        self, _name: str, limits: SchedulerLimits, deadline: float, code: str | None
    ) -> None:
        scheduler = Scheduler(limits)
        scheduler.submit(make_job(1, "a", LONG, 40_000), 0.0)
        decisions = scheduler.submit(
            make_job(2, "a", LONG, 20_000, deadline=deadline), 0.0
        )
        rejects = [each for each in decisions if isinstance(each, Reject)]
        self.assertEqual(
            [each.refusal.code for each in rejects], [code] if code else []
        )
        for each in rejects:
            self.assertIs(each.refusal.run, Run.NO)
            # The work takes 3 s at 20,000 tokens per second; the deadline is at 1 s.
            self.assertAlmostEqual(each.refusal.retry_at or 0, 2.0, delta=0.1)

    def test_queued_job_is_refused_at_its_latest_start(self) -> None:
        scheduler = Scheduler(ONE_SLOT)
        scheduler.submit(make_job(1, "a", LONG, 1000), 0.0)
        scheduler.submit(make_job(2, "a", LONG, 20_000, deadline=5.0), 0.0)
        self.assertAlmostEqual(scheduler.wake_at or 0, 4.0, delta=0.01)
        self.assertEqual(scheduler.tick(3.9), ())
        decisions = scheduler.tick(4.0)
        self.assertEqual([e.refusal.code for e in decisions], ["deadline_exceeded"])
        self.assertIs(decisions[0].refusal.run, Run.NO)
        self.assertEqual((scheduler.queued, scheduler.wake_at), (0, None))

    # Case, organisation of job 9 and number of the refused job; jobs 1 and 2 of
    # organisation "a" fill the queue.
    @parameterized.expand([("light_one_stays", "b", 2), ("flood_is_refused", "a", 9)])
    def test_full_queue_refuses_the_newest_of_the_longest(
        self, _name: str, organisation: str, refused: int
    ) -> None:
        scheduler = Scheduler(replace(ONE_SLOT, max_queued=2))
        for number in range(3):
            scheduler.submit(make_job(number, "a", LONG, 10), 0.0)
        decisions = scheduler.submit(make_job(9, organisation, LONG, 10), 0.0)
        self.assertEqual([e.attempt_id.sequence for e in decisions], [refused])
        self.assertEqual(decisions[0].refusal.code, "queue_full")

    def test_jobs_of_other_senders_take_slots(self) -> None:
        scheduler = Scheduler(SchedulerLimits(slots=2))
        scheduler.submit(make_job(1, "a", SHORT, 10), 0.0)
        scheduler.observe(3, 1.0)
        self.assertEqual(started(scheduler.submit(make_job(2, "a", SHORT, 1), 1.0)), [])
        self.assertEqual(started(scheduler.observe(1, 1.5)), [2])


class RandomEventTests(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(EVENTS, st.sampled_from(["fair", "arrival"]))
    def test_each_job_is_decided_once(
        self, events: list[tuple[str, int, Priority, int]], order: str
    ) -> None:
        limits = SchedulerLimits(
            slots=3, prefill_slots=2, max_queued=8, ageing_s=2.0, order=order
        )
        scheduler = Scheduler(limits)
        decided: Counter[int] = Counter()
        running: list[int] = []
        withdrawn: set[int] = set()
        now = 0.0
        for number, (event, choice, priority, step) in enumerate(events):
            now += step
            if event == "submit":
                prefix_levels = levels((f"p{choice}", 900), (f"q{number}", 1000))
                decisions = scheduler.submit(
                    make_job(
                        number,
                        "abc"[choice % 3],
                        priority,
                        1000,
                        levels=prefix_levels,
                        deadline=now + 4 + choice,
                    ),
                    now,
                )
            elif event == "first_token" and running:
                decisions = scheduler.first_token(
                    attempt(running[choice % len(running)]), now
                )
            elif event == "finish" and choice == 5:
                waiting = [n for n in range(number) if events[n][0] == "submit"]
                waiting = [n for n in waiting if not decided[n] and n not in withdrawn]
                withdrawn.update(waiting[:1])
                decisions = scheduler.finish(attempt((waiting or [-1])[0]), now)
            elif event == "finish" and running:
                ended = running.pop(choice % len(running))
                decisions = scheduler.finish(attempt(ended), now, Usage(1000, 5))
            elif event == "observe":
                decisions = scheduler.observe(choice, now)
            else:
                decisions = scheduler.tick(now)
            decided.update(each.attempt_id.sequence for each in decisions)
            running += started(decisions)
            self.assertLessEqual(len(running), 3)
            self.assertEqual(scheduler.running, len(running))
        while running:
            decisions = scheduler.finish(attempt(running.pop()), now, Usage(1000, 5))
            decided.update(each.attempt_id.sequence for each in decisions)
            running += started(decisions)
        decisions = scheduler.tick(now + 1000)
        decided.update(each.attempt_id.sequence for each in decisions)
        submitted = {n for n, each in enumerate(events) if each[0] == "submit"}
        self.assertEqual(set(decided), submitted - withdrawn)
        self.assertEqual(set(decided.values()) - {1}, set())
        self.assertEqual((scheduler.queued, scheduler.running), (0, 0))
