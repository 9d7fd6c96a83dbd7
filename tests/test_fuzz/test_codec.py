"""Fuzz tests of the codec of the inner protocol."""

from __future__ import annotations

import math
import tracemalloc
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.protocol.codec import Decoder, encode
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.messages import MESSAGES
from agatehoist.protocol.validation import MAX_ARRAY_ITEMS, MAX_FRAME_ITEMS
from tests.test_protocol.test_codec import SAMPLES

MIB_BYTES = 1024 * 1024

MSGPACK_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
FIELD_NAMES = st.sampled_from(
    ["attempt_id", "first", "texts", "identity", "levels", "deadline", "work", "node"]
)
FIELDS = st.dictionaries(FIELD_NAMES, MSGPACK_VALUES, max_size=6)
MESSAGE_CODES = st.sampled_from(list(MESSAGES)) | MSGPACK_VALUES


def decode_all(data: bytes) -> None:
    """Decode all frames; any error except BadFrameError propagates."""
    try:
        list(Decoder().feed(data))
    except BadFrameError:
        return


class CodecFuzzTests(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_random_bytes_decode_or_fail_as_bad_frame(self, data: bytes) -> None:
        decode_all(data)

    @given(
        st.lists(MSGPACK_VALUES, max_size=3)
        | st.tuples(MESSAGE_CODES, FIELDS | MSGPACK_VALUES)
    )
    def test_random_frame_decodes_or_fails_as_bad_frame(self, frame: object) -> None:
        decode_all(msgpack.packb(frame))

    @given(st.sampled_from(SAMPLES), st.data())
    def test_damaged_message_decodes_or_fails_as_bad_frame(
        self, message: object, data: st.DataObject
    ) -> None:
        encoded = bytearray(encode(message))
        index = data.draw(st.integers(0, len(encoded) - 1))
        encoded[index] = data.draw(st.integers(0, 255))
        decode_all(bytes(encoded))

    @parameterized.expand(
        [
            ("unhashable_code", msgpack.packb([[1], {}])),
            ("code_is_a_bool", msgpack.packb([True, {}])),
            ("nested_deeply", b"\x91" * 100_000),
            ("extension", msgpack.packb(msgpack.ExtType(4, b"x"))),
            (
                "time_not_finite",
                msgpack.packb(
                    [
                        2,  # The code of Probe.
                        {
                            "probe_id": 1,
                            "organisation": "a",
                            "levels": [],
                            "prompt_tokens": 1,
                            "priority": 0,
                            "deadline": math.nan,
                        },
                    ]
                ),
            ),
            (
                "text_for_a_number",
                msgpack.packb(
                    [
                        10,  # The code of Cancel.
                        {"attempt_id": {"router_incarnation": "a", "sequence": "5"}},
                    ]
                ),
            ),
        ]
    )
    def test_invalid_frame_is_refused(self, _name: str, data: bytes) -> None:
        with self.assertRaises(BadFrameError):
            list(Decoder().feed(data))

    @parameterized.expand(
        [
            ("claimed_items", b"\xdd\x00\x7f\xff\xff" * 200, 1),
            ("empty_arrays", (b"\xdc\xff\xff" + b"\x90" * 0xFFFF) * 100, 16),
            ("short_texts", (b"\xdc\x20\x00" + b"\xa2ab" * 0x2000) * 300, 16),
        ]
    )
    def test_decoder_memory_is_bounded(
        self, _name: str, data: bytes, limit_mib: int
    ) -> None:
        decoder = Decoder()
        tracemalloc.start()
        try:
            with self.assertRaises(BadFrameError):
                # The data follows the head of an array of 4,096 items.
                list(decoder.feed(b"\xdd\x00\x00\x10\x00" + data))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, limit_mib * MIB_BYTES)

    def test_item_limits_exceed_all_messages(self) -> None:
        largest = max(len(msgpack.unpackb(encode(each))[1]) for each in SAMPLES)
        self.assertLess(largest, MAX_ARRAY_ITEMS)
        self.assertLess(largest, MAX_FRAME_ITEMS)

    def test_frame_size_is_bounded_before_the_handshake(self) -> None:
        decoder = Decoder(max_frame_bytes=100)
        with self.assertRaises(BadFrameError):
            list(decoder.feed(msgpack.packb(b"x" * 200)[:150]))
        decoder = Decoder(max_frame_bytes=100)
        message = encode(SAMPLES[0])
        self.assertEqual(list(decoder.feed(message * 20)), [SAMPLES[0]] * 20)
        # SAMPLES[3] is longer than 100 bytes, SAMPLES[0] is shorter.
        decoder.max_frame_bytes = 1000
        self.assertEqual(list(decoder.feed(encode(SAMPLES[3]))), [SAMPLES[3]])
