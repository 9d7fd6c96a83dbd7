"""Short runs of the soak with fixed seeds."""

from __future__ import annotations

import unittest
from functools import partial

import anyio
from parameterized import parameterized

from soak.seed_run import run_seed

FAULT_DURATION_S = 4.0
GATEWAY_COUNT = 2
STOPS = (
    "stop_beside_hung_requests",
    "stop_in_turn",
    "configuration_series",
    "hangup",
)

OVERLAPPING_STOPS = ("stops_that_overlap", "slow_engines")
PLANNED_WORK = ("planned_work", "slow_engines")
STOPPED_STREAMS = ("last_steps_of_moves", "unframed_streams")


class SeedRunTests(unittest.TestCase):
    # Seeds of all faults, then those that broke an invariant once, with its fault only.
    @parameterized.expand(
        [
            ("all_faults", 1, FAULT_DURATION_S, ()),
            ("more_of_all_faults", 2, FAULT_DURATION_S, ()),
            ("stream_broken_off_in_a_silence", 2, 5.0, ("silence",)),
            ("deadly_request_sent_on", 1, 10.0, ("deadly_request",)),
            ("entries_not_followed_beside_an_odd_one", 8, 3.0, ("odd_entry",)),
            ("cut_at_the_end_of_the_grace", 24, 8.0, STOPS),
            ("signals_until_the_end_of_a_stop", 5002, 2.0, OVERLAPPING_STOPS),
            ("long_streams_taken_late_in_a_stop", 6001, 1.0, PLANNED_WORK),
            ("stopped_streams_taken_as_whole", 9102, 1.0, STOPPED_STREAMS),
        ]
    )
    def test_no_invariant_is_violated(
        self, _name: str, seed: int, duration_s: float, faults: tuple[str, ...]
    ) -> None:
        run = partial(run_seed, seed, duration_s, GATEWAY_COUNT, faults=faults)
        result = anyio.run(run)
        self.assertEqual(result.violations, ())
        self.assertGreater(result.requests_by_status.get(200, 0), 100)
