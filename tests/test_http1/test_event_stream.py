"""Tests of splitting a body into events."""

from __future__ import annotations

import time
import unittest

from parameterized import parameterized

from agatehoist.http1.errors import InvalidReplyError
from agatehoist.http1.event_stream import EventSplitter

# Copying the event for each of its pieces takes several times as long.
MAX_SPLITTING_S = 1.5
BODY = b"id: 1\ndata: a\n\nid: 5\ndata: b\ndata: c\n\n"
EVENTS = [(b"id: 1\ndata: a\n\n", b"1"), (b"id: 5\ndata: b\ndata: c\n\n", b"5")]


class EventSplitterTests(unittest.TestCase):
    @parameterized.expand([(size,) for size in (1, 2, 3, 7, 15, 16, 100)])
    def test_pieces_of_any_size_give_the_same_events(self, size: int) -> None:
        splitter = EventSplitter()
        events = []
        for start in range(0, len(BODY), size):
            events += splitter.feed(BODY[start : start + size])
        self.assertEqual([(each.data, each.event_id) for each in events], EVENTS)
        self.assertEqual(splitter.remainder, b"")

    @parameterized.expand(
        [
            ("carriage_returns", b"id: 7\r\ndata: x\r\n\r\n", b"7"),
            ("no_blank_after_colon", b"id:7\ndata: x\n\n", b"7"),
            ("no_id", b"data: x\n\n", b"6"),
            ("comment", b": wait\n\n", b"6"),
            ("line_before_the_id", b"weights: 4\nid: 7\n\n", b"7"),
        ]
    )
    def test_event_ids(self, _name: str, data: bytes, event_id: bytes) -> None:
        (event,) = EventSplitter(last_event_id=b"6").feed(data)
        self.assertEqual((event.data, event.event_id), (data, event_id))

    @parameterized.expand(
        [
            ("comment", b": wait\n\n", True),
            ("comments", b": a\r\n:b\r\n\r\n", True),
            ("blank_lines", b"\n\n", True),
            ("data", b"data: x\n\n", False),
            ("data_after_a_comment", b": a\r\ndata: x\r\n\r\n", False),
            ("id_only", b"id: 7\n\n", False),
        ]
    )
    def test_comment_is_not_taken_for_progress(
        self, _name: str, data: bytes, is_comment: bool
    ) -> None:
        (event,) = EventSplitter().feed(data)
        self.assertIs(event.is_comment, is_comment)

    def test_event_before_the_first_id_has_none(self) -> None:
        (event,) = EventSplitter().feed(b"data: x\n\n")
        self.assertIsNone(event.event_id)

    # Case, the sizes of the pieces that an endless event arrives in.
    @parameterized.expand([("one_piece", [200]), ("many_pieces", [10] * 20)])
    def test_event_over_the_limit_is_rejected(
        self, _name: str, sizes: list[int]
    ) -> None:
        splitter = EventSplitter(max_event_bytes=100)
        self.assertEqual(len(splitter.feed(b"data: x\n\n")), 1)
        with self.assertRaisesRegex(InvalidReplyError, "exceeds 100 bytes"):
            for size in sizes:
                splitter.feed(b"y" * size)

    @parameterized.expand(
        [
            ("bytes", {"max_stream_bytes": 50}, b"data: x\n\n", "50 bytes"),
            ("events", {"max_stream_events": 5}, b"data: x\n\n", "5 events"),
            ("comments", {"max_stream_comments": 5}, b": x\n\n", "5 comments"),
        ]
    )
    def test_stream_without_end_is_rejected(
        self, _name: str, limits: dict[str, int], event: bytes, limit: str
    ) -> None:
        splitter = EventSplitter(**limits)
        for _ in range(5):
            self.assertEqual(len(splitter.feed(event)), 1)
        with self.assertRaisesRegex(InvalidReplyError, f"stream exceeds {limit}"):
            splitter.feed(event)

    def test_event_in_small_pieces_is_not_copied_for_each_of_them(self) -> None:
        splitter = EventSplitter(max_event_bytes=2 << 20)
        began_at = time.process_time()
        for _ in range(1 << 17):
            splitter.feed(b"y" * 16)
        self.assertLess(time.process_time() - began_at, MAX_SPLITTING_S)

    def test_an_incomplete_event_is_held(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\nda"), ())
        self.assertEqual(splitter.remainder, b"id: 1\nda")

    @parameterized.expand(
        [
            ("inside_a_line", b"id: 2\nda", 8),
            ("before_the_blank_line", b"id: 2\ndata: b\n", 14),
            ("inside_the_blank_line", b"id: 2\r\ndata: b\r\n\r", 17),
            ("comment", b": wait", 6),
        ]
    )
    def test_end_inside_an_event_is_not_taken_for_the_end_of_the_stream(
        self, _name: str, data: bytes, size: int
    ) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\n" + data)
        with self.assertRaisesRegex(InvalidReplyError, f"ended {size} bytes into"):
            splitter.finish()

    @parameterized.expand([("empty", b""), ("whole", BODY), ("blanks", BODY + b"\r\n")])
    def test_whole_stream_is_accepted(self, _name: str, body: bytes) -> None:
        splitter = EventSplitter()
        splitter.feed(body)
        splitter.finish()
