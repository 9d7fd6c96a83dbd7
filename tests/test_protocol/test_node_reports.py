"""Tests of the datagrams in which gateways report load and target weights."""

from __future__ import annotations

import unittest
from typing import Any

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.protocol.datagrams import MAX_DATAGRAM_BYTES, NODE_REPORT
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.node_reports import (
    EndpointLoad,
    NodeReport,
    PartRead,
    TargetWeightsAge,
    decode_report,
    encode_report,
    endpoint_key,
    part_key,
)

KEY = endpoint_key("e1@4")
REPORT = NodeReport(
    "n1",
    5,
    7,
    True,
    {KEY: EndpointLoad(3, 900)},
    (TargetWeightsAge("songs", 3, 250),),
    (PartRead(KEY, part_key("songs/3/", "book"), 6300, True),),
)


def packed(
    kind: int = NODE_REPORT,
    node: Any = "n",
    target_ages: Any = (),
    reads: Any = (),
    loads: Any = (),
) -> bytes:
    """Return an encoded report with these fields."""
    data: bytes = msgpack.packb([kind, node, 1, 1, True, target_ages, reads, loads])
    return data


class NodeReportTests(unittest.TestCase):
    def test_round_trip(self) -> None:
        self.assertEqual(decode_report(encode_report(REPORT)), REPORT)

    def test_the_most_loaded_endpoints_are_kept(self) -> None:
        loads = {endpoint_key(f"endpoint-{n}"): EndpointLoad(1, n) for n in range(500)}
        data = encode_report(NodeReport("n1", 5, 7, True, loads))
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        found = decode_report(data).loads_by_key
        self.assertIn(endpoint_key("endpoint-499"), found)

    @parameterized.expand(
        [
            ("empty", b""),
            ("no_list", msgpack.packb(7)),
            ("other_version", packed(kind=2)),
            ("number_for_node", packed(node=5)),
            ("negative_count", packed(loads=[[KEY, -1, 2]])),
            ("text_for_count", packed(loads=[[KEY, "x", 2]])),
            ("truth_for_count", packed(loads=[[KEY, True, 2]])),
            ("short_entry", packed(loads=[[KEY]])),
            ("short_key", packed(loads=[[b"e", 1, 2]])),
            ("text_for_key", packed(loads=[["e1@4.6", 1, 2]])),
            ("short_read", packed(reads=[[KEY, KEY, 5]])),
            ("text_for_part", packed(reads=[[KEY, "book", 5, True]])),
            ("negative_tokens", packed(reads=[[KEY, KEY, -5, True]])),
            ("short_naming", packed(target_ages=[["m", 3]])),
            ("negative_age", packed(target_ages=[["m", 3, -1]])),
            ("number_for_model", packed(target_ages=[[7, 3, 1]])),
        ]
    )
    def test_invalid_datagrams_are_rejected(self, _name: str, data: bytes) -> None:
        with self.assertRaises(BadFrameError):
            decode_report(data)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_decoded_or_rejected(self, data: bytes) -> None:
        try:
            decode_report(data)
        except BadFrameError as error:
            self.assertTrue(str(error))
