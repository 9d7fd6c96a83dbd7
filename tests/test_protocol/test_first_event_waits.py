"""Tests of the datagrams in which gateways report waits at endpoints."""

from __future__ import annotations

import unittest
from typing import Any

import msgpack
from parameterized import parameterized

from agatehoist.protocol.datagrams import FIRST_EVENT_WAITS, NODE_REPORT
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.first_event_waits import (
    MAX_WAIT_MS,
    MAX_WAITS,
    decode_waits,
    encode_waits,
)
from agatehoist.protocol.node_reports import endpoint_key

KEY = endpoint_key("e1@4")
# Peers get one a second within the limit for reports.
MAX_ENCODED_BYTES = 100


class FirstEventWaitsTests(unittest.TestCase):
    def test_longest_waits_are_reported_in_a_small_datagram(self) -> None:
        waits = {endpoint_key(f"e{n}"): n / 10 for n in range(MAX_WAITS + 5)}
        data = encode_waits(waits)
        longest = dict(sorted(waits.items(), key=lambda item: -item[1])[:MAX_WAITS])
        self.assertEqual(decode_waits(data), longest)
        self.assertLessEqual(len(data), MAX_ENCODED_BYTES)

    @parameterized.expand(
        [
            ("other_kind", [NODE_REPORT, []]),
            ("no_list", [FIRST_EVENT_WAITS, 7]),
            ("too_many", [FIRST_EVENT_WAITS, [[KEY, 1]] * (MAX_WAITS + 1)]),
            ("no_key", [FIRST_EVENT_WAITS, [["e1", 1]]]),
            ("negative", [FIRST_EVENT_WAITS, [[KEY, -1]]]),
            ("too_long", [FIRST_EVENT_WAITS, [[KEY, MAX_WAIT_MS + 1]]]),
            ("no_number", [FIRST_EVENT_WAITS, [[KEY, 0.5]]]),
            ("another_field", [FIRST_EVENT_WAITS, [], 1]),
        ]
    )
    def test_malformed_waits_are_ignored(self, _name: str, fields: Any) -> None:
        with self.assertRaises(BadFrameError):
            decode_waits(msgpack.packb(fields))
