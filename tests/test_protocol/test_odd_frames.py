"""Tests that decoders raise BadFrameError alone, whatever bytes they get."""

from __future__ import annotations

import copy
import unittest
from typing import TYPE_CHECKING, Any

import msgpack
from parameterized import parameterized

from agatehoist.protocol.crash_evidence import decode_evidence
from agatehoist.protocol.datagrams import (
    CRASH_EVIDENCE,
    ENDPOINT_NOTICES,
    FIRST_EVENT_WAITS,
    MAX_DATAGRAM_BYTES,
    NODE_REPORT,
)
from agatehoist.protocol.endpoint_notices import decode_notices
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.first_event_waits import decode_waits
from agatehoist.protocol.node_reports import (
    MAX_NAME_CHARACTERS,
    NodeReport,
    TargetWeightsAge,
    decode_report,
    encode_report,
    endpoint_key,
)
from agatehoist.protocol.permits import decode_permit, decode_permit_request
from agatehoist.protocol.store_feed import VERSION, decode_reply, decode_request

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

KEY = endpoint_key("e1@4")
NOW = 1000.0
FRAMES: dict[str, tuple[Callable[[bytes], Any], Any]] = {
    "report": (
        decode_report,
        [
            NODE_REPORT,
            "n",
            1,
            1,
            True,
            [["m", 3, 1]],
            [[KEY, KEY, 5, True]],
            [[KEY, 1, 2]],
        ],
    ),
    "evidence": (
        lambda data: decode_evidence(data, NOW),
        [
            CRASH_EVIDENCE,
            [[[KEY], KEY, KEY, KEY, 9, 5]],
            [[KEY, 5]],
            [[[KEY], 5, 5, 1]],
        ],
    ),
    "notices": (
        lambda data: decode_notices(data, NOW),
        [ENDPOINT_NOTICES, [[KEY, 2.0, True, 5]]],
    ),
    "waits": (decode_waits, [FIRST_EVENT_WAITS, [[KEY, 700]]]),
    "permit_request": (decode_permit_request, [1, KEY, 2.0, 1]),
    "permit": (lambda data: decode_permit(data, NOW), [1, True, 5]),
    "feed_request": (decode_request, [VERSION, 0.5, {"plans": [0, 1]}]),
    "feed_reply": (
        decode_reply,
        [VERSION, {"plans": [True, 0, 9, [["m", 3, False, {"a": 1}]]]}],
    ),
}
ODD_BYTES = {
    "nested_lists": b"\x91" * (MAX_DATAGRAM_BYTES - 1) + b"\xc0",
    "nested_without_end": b"\x91" * MAX_DATAGRAM_BYTES,
    "list_of_many_items": b"\xdd\xff\xff\xff\xff",
    "mapping_of_many_items": b"\xdf\xff\xff\xff\xff",
    "bytes_without_end": b"\xc6\xff\xff\xff\xff",
    "text_that_is_not_utf_8": b"\xa2\xc3\x28",
    "odd_timestamp": b"\xd7\xff" + b"\xff" * 8,
    "other_extension": b"\xd4\x05\x00",
    "largest_integer": b"\xcf" + b"\xff" * 8,
    "least_integer": b"\xd3\x80" + b"\x00" * 7,
    "nan": b"\xcb\x7f\xf8" + b"\x00" * 6,
    "infinity": b"\xcb\x7f\xf0" + b"\x00" * 6,
    "largest_float": b"\xcb\x7f\xef" + b"\xff" * 6,
    "nil": b"\xc0",
    "true": b"\xc3",
    "empty_list": b"\x90",
    "mapping": b"\x81\x01\x02",
    "bytes": b"\xc4\x01a",
    "text": b"\xa1a",
}
# Stands for odd bytes in a message that is packed first.
PLACE = b"replaced"


def paths(value: Any) -> Iterator[tuple[Any, ...]]:
    """Yield the path of a value and those of all values in it."""
    yield ()
    keys = range(len(value)) if isinstance(value, list) else value
    if isinstance(value, list | dict):
        for key in keys:
            yield from ((key, *path) for path in paths(value[key]))


def with_odd_value(fields: Any, path: tuple[Any, ...], odd: bytes) -> bytes:
    """Return a message in which the value at a path has odd bytes."""
    holder = [copy.deepcopy(fields)]
    inner, last = holder, 0
    for key in path:
        inner, last = inner[last], key
    inner[last] = PLACE
    data: bytes = msgpack.packb(holder[0])
    return data.replace(msgpack.packb(PLACE), odd)


class OddFrameTests(unittest.TestCase):
    @parameterized.expand(
        (f"{frame}_{name}", frame, odd)
        for frame in FRAMES
        for name, odd in ODD_BYTES.items()
    )
    def test_odd_value_anywhere_is_decoded_or_rejected(
        self, _name: str, frame: str, odd: bytes
    ) -> None:
        decode, fields = FRAMES[frame]
        decode(msgpack.packb(fields))
        for path in paths(fields):
            try:
                decode(with_odd_value(fields, path, odd))
            except BadFrameError as error:
                self.assertLess(len(str(error)), 300)

    @parameterized.expand(
        [
            ("long", "m" * (MAX_NAME_CHARACTERS + 1), 1),
            ("wide", "ü" * MAX_NAME_CHARACTERS, 9),
            ("many", "m" * 100, 99),
        ]
    )
    def test_names_of_target_weights_leave_the_rest_of_a_report(
        self, _name: str, model: str, count: int
    ) -> None:
        odd = tuple(TargetWeightsAge(model, n, 5) for n in range(count))
        report = NodeReport("n1", 5, 7, True, {}, (*odd, TargetWeightsAge("m", 3, 5)))
        data = encode_report(report)
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        self.assertEqual(decode_report(data).node, "n1")
