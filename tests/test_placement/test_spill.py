"""Tests of the share of requests that leave their data centre, in a simulation."""

from __future__ import annotations

import math
import random
import unittest
from dataclasses import dataclass, field

from parameterized import parameterized

from agatehoist.placement.spill import SpillShare, SpillWaits, leaves
from agatehoist.placement.transfer_costs import (
    DEFAULT_DELAY_S,
    DataCentreDelays,
    ServiceCosts,
)

STEP_S = 0.01
# All gateways see the same reports, which are so old unless stated otherwise.
REPORT_AGE_S = 0.15
GATEWAYS = 5
DATA_CENTRES = range(3)
# Requests per second that the endpoints of a data centre serve.
CAPACITY_PER_S = 100.0
TRANSFER_S = 0.002
# Changes of direction by less than this are noise.
REVERSAL = 0.1


@dataclass
class Sites:
    """Simulate three data centres with a queue each and demand out of phase."""

    mean_per_s: float
    amplitude: float
    spills: bool = True
    report_age_s: float = REPORT_AGE_S
    # Capacity of the first data centre by the time from which it holds.
    capacities: tuple[tuple[float, float], ...] = ()
    silence: tuple[float, float] = (math.inf, math.inf)
    shares: list[list[float]] = field(default_factory=list)
    total_wait_s: float = 0.0
    requests: int = 0
    sent: int = 0

    def run(self, seconds: float) -> Sites:
        rng, queues = random.Random(1), [0.0] * 3
        gateways = [[SpillShare() for _ in range(GATEWAYS)] for _ in DATA_CENTRES]
        history: list[list[float]] = []
        for step in range(round(seconds / STEP_S)):
            now = step * STEP_S
            history.append(
                [self._wait_s(site, queues[site], now) for site in DATA_CENTRES]
            )
            seen = history[max(0, step - round(self.report_age_s / STEP_S))]
            for site in DATA_CENTRES:
                for _ in range(self._arrivals(site, now, rng)):
                    share = gateways[site][rng.randrange(GATEWAYS)]
                    target = self._place(site, share, seen, now, rng)
                    self.requests += 1
                    self.sent += target != site
                    self.total_wait_s += min(5.0, history[-1][target])
                    queues[target] += 1
                served = self._capacity_per_s(site, now) * STEP_S
                queues[site] = max(0.0, queues[site] - served)
            self.shares.append(
                [sum(each.share for each in site) / GATEWAYS for site in gateways]
            )
        return self

    def share(self, site: int, at: float) -> float:
        return self.shares[round(at / STEP_S)][site]

    @property
    def reversals(self) -> int:
        """Return how often the shares change their direction."""
        count = 0
        for site in DATA_CENTRES:
            extreme, direction = 0.0, 1
            for share in (each[site] for each in self.shares):
                if direction * (share - extreme) > 0:
                    extreme = share
                elif direction * (extreme - share) > REVERSAL:
                    count, extreme, direction = count + 1, share, -direction
        return count

    def _capacity_per_s(self, site: int, now: float) -> float:
        found = [each for since, each in self.capacities if now >= since]
        return found[-1] if found and not site else CAPACITY_PER_S

    def _wait_s(self, site: int, queue: float, now: float) -> float:
        capacity_per_s = self._capacity_per_s(site, now)
        return queue / capacity_per_s if capacity_per_s else math.inf

    def _arrivals(self, site: int, now: float, rng: random.Random) -> int:
        phase = math.sin(2 * math.pi * (now / 13 + site / 3))
        expected = self.mean_per_s * (1 + self.amplitude * phase) * STEP_S
        return sum(rng.random() < expected / 4 for _ in range(4))

    def _place(
        self,
        site: int,
        share: SpillShare,
        seen: list[float],
        now: float,
        rng: random.Random,
    ) -> int:
        others = [each for each in DATA_CENTRES if each != site]
        best_s = min(seen[each] for each in others)
        has_reports = not self.silence[0] <= now < self.silence[1]
        waits = SpillWaits(seen[site], best_s, TRANSFER_S, has_reports)
        share.update(waits, now)
        if not self.spills or not leaves(rng.random(), share.share, waits, math.inf):
            return site
        return rng.choice([each for each in others if seen[each] <= best_s + 0.01])


class SimulationTests(unittest.TestCase):
    # Case, the age of the reports, and bounds of the waits relative to those without
    # spills and of the requests that leave.
    @parameterized.expand(
        [("new_reports", REPORT_AGE_S, 0.25, 0.2), ("old_reports", 0.8, 0.5, 0.3)]
    )
    def test_demand_out_of_phase_is_evened_out_without_oscillation(
        self, _name: str, report_age_s: float, wait_ratio: float, most_sent: float
    ) -> None:
        """Three periods of the demand let each share rise and fall three times."""
        alone = Sites(80, 0.55, spills=False).run(39)
        shared = Sites(80, 0.55, report_age_s=report_age_s).run(39)
        self.assertLess(shared.total_wait_s, wait_ratio * alone.total_wait_s)
        self.assertLess(shared.sent, most_sent * shared.requests)
        self.assertLessEqual(shared.reversals, 20)

    def test_nothing_leaves_while_there_is_room(self) -> None:
        # At most 70% of the capacity.
        sites = Sites(45, 0.55).run(20)
        self.assertEqual(sites.sent, 0)

    # Case, the capacity of a data centre from second 8 to 20, the bounds of its share
    # meanwhile, and the changes of direction.
    @parameterized.expand([("lost", 0, 1.0, 1.0, 3), ("half_slow", 40, 0.2, 0.7, 3)])
    def test_share_follows_a_loss_and_returns(
        self, _name: str, capacity_per_s: float, least: float, most: float, changes: int
    ) -> None:
        changed = ((8.0, capacity_per_s), (20.0, CAPACITY_PER_S))
        sites = Sites(60, 0.1, capacities=changed).run(34)
        for at in (12, 14, 16, 18):
            self.assertGreaterEqual(sites.share(0, at), least)
            self.assertLessEqual(sites.share(0, at), most)
        self.assertLess(sites.share(0, 33), 0.05)
        self.assertLessEqual(sites.reversals, changes)

    def test_requests_stay_while_reports_are_missing(self) -> None:
        """Without reports the endpoints elsewhere look idle to each gateway."""
        sites = Sites(80, 0.55, silence=(16, 28)).run(28)
        for site in DATA_CENTRES:
            self.assertLess(sites.share(site, 23), 0.05)
            self.assertLess(sites.share(site, 27), 0.05)


class CostTests(unittest.TestCase):
    # Case, the wait here and elsewhere, whether reports are recent, and the decision
    # on a request that isn't in the share and tolerates 0.08 s.
    @parameterized.expand(
        [
            ("would_be_late", 0.2, 0.0, True, True),
            ("waits_as_long_there", 0.2, 0.19, True, False),
            ("short_wait", 0.05, 0.0, True, False),
            ("old_reports", 0.2, 0.0, False, False),
        ]
    )
    def test_request_that_would_be_late_leaves_at_once(
        self, _name: str, own_s: float, other_s: float, reports: bool, expected: bool
    ) -> None:
        waits = SpillWaits(own_s, other_s, TRANSFER_S, reports)
        self.assertEqual(leaves(0.9, 0.5, waits, 0.08), expected)
        self.assertTrue(leaves(0.4, 0.5, waits, 0.08))

    def test_transfer_costs_are_measured(self) -> None:
        delays, costs = DataCentreDelays(), ServiceCosts()
        self.assertEqual(delays.delay_s("z1", "z2"), DEFAULT_DELAY_S)
        # A slow connect is one of a busy process, not of the path.
        for data_centre, connect_s in (("z1", 0.001), ("z2", 0.0019), ("z2", 0.002)):
            delays.note_connect(data_centre, connect_s)
        self.assertAlmostEqual(delays.delay_s("z1", "z2"), 0.0009, places=4)
        self.assertEqual(delays.delay_s("z1", "z1"), 0.0)
        for _ in range(50):
            costs.note_bytes(40_000)
            costs.note_run(0.06)
        self.assertAlmostEqual(costs.traffic_s(0.001), 0.00004, places=5)
        waits_s = [costs.wait_s(runs, 6) for runs in (0, 5, 6, 11)]
        expected_s = [0.0, 0.0, 0.01, 0.06]
        for wait_s, each_s in zip(waits_s, expected_s, strict=True):
            self.assertAlmostEqual(wait_s, each_s, places=3)
