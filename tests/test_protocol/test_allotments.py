"""Tests of the datagrams with which gateways share allotments."""

from __future__ import annotations

import unittest

import msgpack
from parameterized import parameterized

from agatehoist.core.address import Address
from agatehoist.limits.allotment_node import MAX_ASKS, AskBatch, GrantBatch
from agatehoist.limits.allotments import AllotmentAsk, AllotmentGrant, Terms
from agatehoist.protocol.allotments import (
    decode_asks,
    decode_grants,
    encode_asks,
    encode_grants,
)
from agatehoist.protocol.datagrams import (
    ALLOTMENT_ASKS,
    ALLOTMENT_GRANTS,
    MAX_DATAGRAM_BYTES,
)
from agatehoist.protocol.errors import BadFrameError

KEY = b"organ1"
TERMS = Terms(7, 350_000.5, 400_000.0)
SENDER = Address("10.1.2.3", 8791)
ASK = AllotmentAsk(KEY, TERMS, 9200.0, 18_400.0, 3.5, 2.0, 1.0, delegates=False)
GRANT = AllotmentGrant(KEY, TERMS, 12.5, 0.25)
ASK_HEAD = [ALLOTMENT_ASKS, "10.1.2.3", 8791, 5, 25, b"abcd", True, False, True]
ASK_FIELDS = [KEY, 7, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0, 0.0, True]


class EncodingTests(unittest.TestCase):
    @parameterized.expand([("empty", 0), ("most", MAX_ASKS)])
    def test_batches_survive_encoding_in_one_datagram(
        self, _name: str, count: int
    ) -> None:
        asks = AskBatch(SENDER, 5, 25, b"abcd", True, False, True, (ASK,) * count)
        grants = GrantBatch(5, 25, (GRANT,) * count)
        self.assertEqual(decode_asks(encode_asks(asks)), asks)
        self.assertEqual(decode_grants(encode_grants(grants)), grants)
        self.assertLessEqual(len(encode_asks(asks)), MAX_DATAGRAM_BYTES)
        self.assertLessEqual(len(encode_grants(grants)), MAX_DATAGRAM_BYTES)

    @parameterized.expand(
        [
            ("no_array", 3),
            ("too_few_fields", [ALLOTMENT_ASKS]),
            ("other_kind", [ALLOTMENT_GRANTS, *ASK_HEAD[1:], []]),
            ("sender_is_no_address", [*ASK_HEAD[:1], "x", *ASK_HEAD[2:], []]),
            ("short_digest", [*ASK_HEAD[:5], b"a", *ASK_HEAD[6:], []]),
            ("too_many_asks", [*ASK_HEAD, [ASK_FIELDS] * (MAX_ASKS + 1)]),
            ("negative_rate", [*ASK_HEAD, [[KEY, 7, -1.0, *ASK_FIELDS[3:]]]]),
            ("rate_not_a_number", [*ASK_HEAD, [[KEY, 7, "1", *ASK_FIELDS[3:]]]]),
            ("endless_amount", [*ASK_HEAD, [[*ASK_FIELDS[:8], float("inf"), True]]]),
            ("missing_amount", [*ASK_HEAD, [[*ASK_FIELDS[:8], True]]]),
        ]
    )
    def test_invalid_asks_are_rejected(self, _name: str, fields: object) -> None:
        with self.assertRaises(BadFrameError):
            decode_asks(msgpack.packb(fields))

    @parameterized.expand(
        [
            ("no_array", 3),
            ("no_list", [ALLOTMENT_GRANTS, 5, 25, None]),
            ("short_key", [ALLOTMENT_GRANTS, 5, 25, [[b"x", 7, 1.0, 2.0, 0.0, 0.0]]]),
            ("nan", [ALLOTMENT_GRANTS, 5, 25, [[KEY, 7, 1.0, 2.0, float("nan"), 0.0]]]),
        ]
    )
    def test_invalid_grants_are_rejected(self, _name: str, fields: object) -> None:
        with self.assertRaises(BadFrameError):
            decode_grants(msgpack.packb(fields))
