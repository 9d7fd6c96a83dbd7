"""Tests of the processor time that decoding a chunked body takes."""

from __future__ import annotations

import time
import unittest
from contextlib import suppress

from parameterized import parameterized

from agatehoist.http1.chunked_body import ChunkedBody
from agatehoist.http1.errors import BadRequestError

MAX_LINE_BYTES = 16_384
BLANKS = b" " * 16_000
PIECES = 20
# Matching in linear time takes milliseconds, in quadratic time 0.3 s for each piece.
MAX_BUSY_S = 1.0


class ChunkedBodyTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("incomplete_line", b"1;" + BLANKS, b" "),
            ("line_feed", b"1;" + BLANKS + b"\n", b"x"),
            ("blanks_without_extension", b"1" + BLANKS, b" "),
            ("carriage_returns", b"1;" + b"\r" * len(BLANKS), b"\r"),
        ]
    )
    def test_size_line_of_blanks_is_matched_in_linear_time(
        self, _name: str, start: bytes, piece: bytes
    ) -> None:
        """A few bytes must not stop the event loop for a third of a second each."""
        began_at = time.process_time()
        chunks = ChunkedBody(MAX_LINE_BYTES)
        for each in (start, *(piece for _ in range(PIECES))):
            self.assertEqual(chunks.feed(each), b"")
        with suppress(BadRequestError):
            chunks.feed(b"\r\n")
        self.assertLess(time.process_time() - began_at, MAX_BUSY_S)
