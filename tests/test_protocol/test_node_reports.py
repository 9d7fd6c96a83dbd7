"""Tests of the datagrams in which gateways tell their load and what was named."""

from __future__ import annotations

import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.node_reports import (
    MAX_DATAGRAM_BYTES,
    EndpointLoad,
    Naming,
    NodeReport,
    decode_report,
    encode_report,
)

REPORT = NodeReport(
    "n1", 5, 7, {"e1@4": EndpointLoad(3, 900)}, (Naming("songs", 3, 250),)
)


class NodeReportTests(unittest.TestCase):
    def test_round_trip(self) -> None:
        self.assertEqual(decode_report(encode_report(REPORT)), REPORT)

    def test_the_busiest_endpoints_find_room(self) -> None:
        loads = {f"endpoint-{n:04d}@1": EndpointLoad(1, n) for n in range(500)}
        data = encode_report(NodeReport("n1", 5, 7, loads))
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        self.assertIn("endpoint-0499@1", decode_report(data).loads_by_lifetime)

    @parameterized.expand(
        [
            ("empty", b""),
            ("no_list", msgpack.packb(7)),
            ("other_version", msgpack.packb([1, "n", 1, 1, [], []])),
            ("number_for_node", msgpack.packb([2, 5, 1, 1, [], []])),
            ("negative_count", msgpack.packb([2, "n", 1, 1, [], [["e", -1, 2]]])),
            ("text_for_count", msgpack.packb([2, "n", 1, 1, [], [["e", "x", 2]]])),
            ("truth_for_count", msgpack.packb([2, "n", 1, 1, [], [["e", True, 2]]])),
            ("short_entry", msgpack.packb([2, "n", 1, 1, [], [["e"]]])),
            ("short_naming", msgpack.packb([2, "n", 1, 1, [["m", 3]], []])),
            ("negative_age", msgpack.packb([2, "n", 1, 1, [["m", 3, -1]], []])),
            ("number_for_model", msgpack.packb([2, "n", 1, 1, [[7, 3, 1]], []])),
        ]
    )
    def test_other_datagrams_are_refused(self, _name: str, data: bytes) -> None:
        with self.assertRaises(BadFrameError):
            decode_report(data)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_report_or_refused(self, data: bytes) -> None:
        try:
            decode_report(data)
        except BadFrameError as error:
            self.assertTrue(str(error))
