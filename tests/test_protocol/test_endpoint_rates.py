"""Tests of the datagrams in which gateways tell measured rates."""

from __future__ import annotations

import unittest
from typing import Any

import msgpack
from parameterized import parameterized

from agatehoist.protocol.datagrams import ENDPOINT_RATES, NODE_REPORT
from agatehoist.protocol.endpoint_rates import (
    MAX_ENDPOINTS,
    MAX_RUN_TOKENS,
    EndpointSamples,
    RatesReport,
    RunSizes,
    Samples,
    decode_rates,
    encode_rates,
)
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.node_reports import endpoint_key

KEY = endpoint_key("e1@4")
ENTRY = [KEY, 100, 150, 20, 90]
# Three peers get one a second, within the limit for reports.
MAX_ENCODED_BYTES = 600


class EndpointRatesTests(unittest.TestCase):
    def test_round_trip(self) -> None:
        samples = EndpointSamples(Samples(3.0, 1.5), Samples(0.05, 0.1))
        report = RatesReport("n1", RunSizes(1300, 1900), {KEY: samples})
        found = decode_rates(encode_rates(report))
        self.assertEqual(found.run_sizes, report.run_sizes)
        self.assertAlmostEqual(found.samples_by_key[KEY].prefill.measured_s, 3.0)
        self.assertAlmostEqual(found.samples_by_key[KEY].step.measured_s, 0.05)

    def test_most_measured_endpoints_are_reported_in_a_small_datagram(self) -> None:
        samples_by_key = {
            endpoint_key(f"e{number}"): EndpointSamples(Samples(number, number))
            for number in range(1, 2 * MAX_ENDPOINTS)
        }
        data = encode_rates(RatesReport("n1", RunSizes(), samples_by_key))
        found = decode_rates(data).samples_by_key
        self.assertEqual(len(found), MAX_ENDPOINTS)
        self.assertIn(endpoint_key(f"e{2 * MAX_ENDPOINTS - 1}"), found)
        self.assertLessEqual(len(data), MAX_ENCODED_BYTES)

    @parameterized.expand(
        [
            ("other_kind", [NODE_REPORT, "n", 1, 1, []]),
            ("no_list", [ENDPOINT_RATES, "n", 1, 1, 7]),
            ("too_many", [ENDPOINT_RATES, "n", 1, 1, [ENTRY] * (MAX_ENDPOINTS + 1)]),
            ("no_name", [ENDPOINT_RATES, 5, 1, 1, []]),
            ("large_runs", [ENDPOINT_RATES, "n", MAX_RUN_TOKENS + 1, 1, []]),
            ("no_key", [ENDPOINT_RATES, "n", 1, 1, [["e1", 1, 1, 1, 1]]]),
            ("negative", [ENDPOINT_RATES, "n", 1, 1, [[KEY, -1, 1, 1, 1]]]),
            ("large_weight", [ENDPOINT_RATES, "n", 1, 1, [[KEY, 1 << 40, 1, 1, 1]]]),
            ("no_number", [ENDPOINT_RATES, "n", 1, 1, [[KEY, 1, 0.5, 1, 1]]]),
            ("short_entry", [ENDPOINT_RATES, "n", 1, 1, [[KEY, 1]]]),
            ("another_field", [ENDPOINT_RATES, "n", 1, 1, [], 1]),
        ]
    )
    def test_malformed_rates_are_ignored(self, _name: str, fields: Any) -> None:
        with self.assertRaises(BadFrameError):
            decode_rates(msgpack.packb(fields))
