"""Tests of the time to first token that is reported to a probe."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from parameterized import parameterized

from agatehoist.admission.scheduler import Scheduler
from tests.test_admission.support import LONG, ONE_SLOT, SHORT, make_job

if TYPE_CHECKING:
    from agatehoist.core.work import Priority

QUEUED_TOKENS = 400_000
# Prefill time of these at 20,000 tokens per second, the initial rate of a scheduler.
QUEUED_S = 20.0

# Case, organisation and priority of a probe; the organisation "large" has filled the
# queue.
PROBES = [
    ("its_own", "large", LONG),
    ("another", "small", LONG),
    ("short", "small", SHORT),
]


class PlacementEstimateTests(unittest.TestCase):
    @parameterized.expand(PROBES)
    def test_estimate_covers_the_backlog(
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

    def test_short_job_estimate_ignores_jobs_it_overtakes(self) -> None:
        scheduler = Scheduler(ONE_SLOT)
        for number in range(10):
            scheduler.submit(make_job(number, "large", LONG, 40_000), 0.0)
        self.assertLess(scheduler.ttft_estimate(100, "small", SHORT), QUEUED_S / 2)
