"""Tests of the encoding of permits and of notices of endpoints."""

from __future__ import annotations

import unittest

import msgpack
from parameterized import parameterized

from agatehoist.fleet.statements import Notice
from agatehoist.limits.endpoint_permits import Permit, PermitRequest
from agatehoist.protocol.datagrams import (
    ENDPOINT_NOTICES,
    MAX_DATAGRAM_BYTES,
    datagram_kind,
)
from agatehoist.protocol.endpoint_notices import (
    MAX_NOTICES,
    decode_notices,
    encode_notices,
)
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.permits import (
    decode_permit,
    decode_permit_request,
    encode_permit,
    encode_permit_request,
)

KEY = b"engine"
NOW = 1000.0


class PermitTests(unittest.TestCase):
    @parameterized.expand([("whole", 2.0), ("fraction", 0.25), ("integer", 3)])
    def test_request_survives_encoding(self, _name: str, limit_per_s: float) -> None:
        request = PermitRequest(KEY, limit_per_s, 1)
        self.assertEqual(decode_permit_request(encode_permit_request(request)), request)

    @parameterized.expand([("granted", True, NOW), ("refused", False, NOW + 0.25)])
    def test_permit_counts_from_its_arrival(
        self, _name: str, granted: bool, retry_at: float
    ) -> None:
        data = encode_permit(Permit(granted, retry_at), NOW)
        self.assertEqual(decode_permit(data, 50.0), Permit(granted, retry_at - 950.0))

    @parameterized.expand(
        [
            ("no_array", b"\xff"),
            ("other_version", msgpack.packb([2, KEY, 2.0, 1])),
            ("short_key", msgpack.packb([1, b"x", 2.0, 1])),
            ("limit_as_text", msgpack.packb([1, KEY, "2", 1])),
            ("negative_limit", msgpack.packb([1, KEY, -2.0, 1])),
            ("limit_not_a_number", msgpack.packb([1, KEY, float("nan"), 1])),
            ("negative_priority", msgpack.packb([1, KEY, 2.0, -1])),
            ("too_few_fields", msgpack.packb([1, KEY])),
        ]
    )
    def test_invalid_request_is_rejected(self, _name: str, data: bytes) -> None:
        with self.assertRaises(BadFrameError):
            decode_permit_request(data)

    @parameterized.expand(
        [
            ("no_array", b""),
            ("other_version", msgpack.packb([2, True, 0])),
            ("negative_delay", msgpack.packb([1, False, -1])),
            ("delay_as_text", msgpack.packb([1, False, "1"])),
        ]
    )
    def test_invalid_permit_is_rejected(self, _name: str, data: bytes) -> None:
        with self.assertRaises(BadFrameError):
            decode_permit(data, NOW)


class NoticeTests(unittest.TestCase):
    def test_notices_count_their_age_from_the_sending(self) -> None:
        notices = (Notice(KEY, 2.5, False, NOW - 3), Notice(b"leaver", None, True, NOW))
        data = encode_notices(notices, NOW)
        self.assertEqual(datagram_kind(data), ENDPOINT_NOTICES)
        expected = (Notice(KEY, 2.5, False, 47.0), Notice(b"leaver", None, True, 50.0))
        self.assertEqual(decode_notices(data, 50.0), expected)

    def test_most_notices_fit_into_a_datagram(self) -> None:
        notices = [Notice(KEY, 2.5, True, 0.0)] * (MAX_NOTICES + 1)
        data = encode_notices(notices, NOW)
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        self.assertEqual(len(decode_notices(data, NOW)), MAX_NOTICES)

    @parameterized.expand(
        [
            ("no_array", b"\x01"),
            ("other_kind", msgpack.packb([4, []])),
            ("no_list", msgpack.packb([ENDPOINT_NOTICES, {}])),
            ("short_key", msgpack.packb([ENDPOINT_NOTICES, [[b"x", 1.0, True, 0]]])),
            ("limit", msgpack.packb([ENDPOINT_NOTICES, [[KEY, -1.0, True, 0]]])),
            ("age", msgpack.packb([ENDPOINT_NOTICES, [[KEY, 1.0, True, -5]]])),
            ("fields", msgpack.packb([ENDPOINT_NOTICES, [[KEY, 1.0]]])),
        ]
    )
    def test_invalid_notices_are_rejected(self, _name: str, data: bytes) -> None:
        with self.assertRaises(BadFrameError):
            decode_notices(data, NOW)
