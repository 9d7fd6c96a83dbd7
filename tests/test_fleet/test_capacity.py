"""Tests of the measured rates of endpoints."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from agatehoist.fleet.capacity import (
    DEFAULT_PREFILL_TOKENS_PER_S,
    DEFAULT_STEP_S,
    HALF_LIFE_S,
    MAX_NOISE,
    MAX_NOISE_SAMPLES,
    PEER_RETENTION_S,
    Capacity,
)
from agatehoist.protocol.endpoint_rates import EndpointSamples, Samples
from agatehoist.protocol.node_reports import endpoint_key

NOW = 50.0
KEY = endpoint_key("e")
LONG_AGO_S = 10 * HALF_LIFE_S


def learned(slowness: float, count: int = 4) -> Capacity:
    """Return what follows from some answers of an endpoint."""
    capacity = Capacity()
    for _ in range(count):
        capacity.learn_first_event("e", 0.2, 0.2 * slowness, NOW, is_shared=True)
        capacity.learn_steps("e", 40, 40 * DEFAULT_STEP_S * slowness, NOW)
    return capacity


def told(slowness: float, weight_s: float) -> dict[bytes, EndpointSamples]:
    """Return the samples that a peer tells."""
    samples = Samples(weight_s * slowness, weight_s)
    return {KEY: EndpointSamples(samples, samples)}


class LearningTests(unittest.TestCase):
    @parameterized.expand([("slow", 1 / 0.6), ("fast", 1 / 1.6)])
    def test_engines_of_different_speed_are_told_apart_after_a_few_answers(
        self, _name: str, slowness: float
    ) -> None:
        rates = learned(slowness, count=8).rates("e", NOW)
        rate = DEFAULT_PREFILL_TOKENS_PER_S / slowness
        self.assertAlmostEqual(rates.prefill_tokens_per_s / rate, 1, delta=0.15)
        step_s = DEFAULT_STEP_S * slowness
        self.assertAlmostEqual(rates.step_s / step_s, 1, delta=0.1)

    def test_rate_returns_to_the_assumed_one_without_news(self) -> None:
        capacity = learned(2.0)
        half_way = capacity.slowness("e", NOW + HALF_LIFE_S)
        self.assertTrue(1.0 < half_way < 2.0)
        self.assertAlmostEqual(
            capacity.slowness("e", NOW + LONG_AGO_S), 1.0, delta=0.01
        )

    def test_estimate_without_stated_figures_does_not_age(self) -> None:
        capacity = Capacity()
        capacity.learn_first_event("e", 2.0, 4.0)
        before = capacity.slowness("e", NOW)
        self.assertEqual(capacity.slowness("e", NOW + LONG_AGO_S), before)
        self.assertEqual(capacity.to_report(NOW), {})
        # As much as before rates were shared: the assumed rate weighs 0.5 s.
        self.assertAlmostEqual(before, (0.5 + 4.0) / (0.5 + 2.0))

    def test_one_long_answer_does_not_make_an_endpoint_slow_beyond_bounds(self) -> None:
        capacity = learned(1.0)
        capacity.learn_first_event("e", 0.2, 60.0, NOW, is_shared=True)
        self.assertLessEqual(capacity.slowness("e", NOW), 8.0)

    def test_preempted_run_does_not_make_the_steps_slow(self) -> None:
        capacity = learned(1.0)
        capacity.learn_steps("e", 4, 2.0, NOW)
        step_s = capacity.rates("e", NOW).step_s
        self.assertAlmostEqual(step_s / DEFAULT_STEP_S, 1, delta=0.05)

    def test_noise_is_exceeded_by_one_answer_in_ten(self) -> None:
        capacity = Capacity()
        for number in range(MAX_NOISE_SAMPLES):
            slowness = 2.5 if number % 5 == 0 else 1.0
            capacity.learn_first_event("e", 0.2, 0.2 * slowness, NOW, is_shared=True)
        self.assertTrue(1.5 < capacity.rates("e", NOW).noise <= MAX_NOISE)


class PeerTests(unittest.TestCase):
    def test_news_of_peers_weighs_by_the_number_of_samples(self) -> None:
        capacity = learned(1.0)
        capacity.accept_report("n2", told(3.0, 0.8), NOW)
        # The assumed rate weighs 0.2 s, the own samples 0.8 s.
        steps_s = 4 * 40 * DEFAULT_STEP_S
        step_slowness = (0.2 + steps_s + 2.4) / (0.2 + steps_s + 0.8)
        expected = (0.2 * step_slowness + 0.8 + 2.4) / 1.8
        self.assertAlmostEqual(capacity.slowness("e", NOW), expected)

    def test_repeated_report_counts_once(self) -> None:
        capacity = Capacity()
        for _ in range(5):
            capacity.accept_report("n2", told(3.0, 0.2), NOW)
        self.assertLess(capacity.slowness("e", NOW), 2.7)

    @parameterized.expand([("forgotten", PEER_RETENTION_S + 1), ("aged", LONG_AGO_S)])
    def test_rate_of_a_silent_peer_returns_to_the_assumed_one(
        self, _name: str, after_s: float
    ) -> None:
        capacity = Capacity()
        capacity.accept_report("n2", told(3.0, 2.0), NOW)
        capacity.accept_report("n3", told(1.0, 0.0), NOW + after_s)
        slowness = capacity.slowness("e", NOW + after_s)
        self.assertAlmostEqual(slowness, 1.0, delta=0.05)

    def test_faulty_peer_does_not_outweigh_all_others(self) -> None:
        capacity = Capacity()
        capacity.accept_report("faulty", told(50.0, 600.0), NOW)
        for number in range(20):
            capacity.accept_report(f"n{number}", told(1.0, 20.0), NOW)
        self.assertLess(capacity.slowness("e", NOW), 4.0)

    def test_what_peers_told_is_not_told_on(self) -> None:
        capacity = Capacity()
        capacity.accept_report("n2", told(3.0, 2.0), NOW)
        self.assertEqual(capacity.to_report(NOW), {})

    def test_nothing_is_kept_of_an_endpoint_that_has_ended(self) -> None:
        capacity = learned(2.0)
        capacity.accept_report("n2", told(3.0, 2.0), NOW)
        capacity.forget("e")
        self.assertEqual(capacity.slowness("e", NOW), 1.0)
