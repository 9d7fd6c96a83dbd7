"""Tests of the estimate that a probe is answered with."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.admission.scheduler import Scheduler
from tests.test_admission.support import LONG, ONE_SLOT, SHORT, make_job

if TYPE_CHECKING:
    from agatehoist.core.work import Priority

QUEUED_TOKENS = 400_000
QUEUED_S = 20.0

# Who asks, with what priority, of an endpoint that "large" has filled.
QUESTIONS = [
    ("its_own", "large", LONG),
    ("another", "small", LONG),
    ("short", "small", SHORT),
]


class BacklogTests(unittest.TestCase):
    @parameterized.expand(QUESTIONS)
    def test_backlog_shows(
        self, _name: str, organisation: str, priority: Priority
    ) -> None:
        scheduler = Scheduler(ONE_SLOT)
        idle_s = scheduler.placement_estimate(100, organisation, priority)
        self.assertLess(idle_s, 0.1)
        for number in range(10):
            job = make_job(number, "large", LONG, QUEUED_TOKENS // 10)
            scheduler.submit(job, 0.0)
        busy_s = scheduler.placement_estimate(100, organisation, priority)
        self.assertGreaterEqual(busy_s, QUEUED_S)

    def test_work_that_overtakes_is_still_expected_early(self) -> None:
        scheduler = Scheduler(ONE_SLOT)
        for number in range(10):
            scheduler.submit(make_job(number, "large", LONG, 40_000), 0.0)
        self.assertLess(scheduler.ttft_estimate(100, "small", SHORT), QUEUED_S / 2)
