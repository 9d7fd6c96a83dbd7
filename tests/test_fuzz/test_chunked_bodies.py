"""Fuzz tests of the decoder of chunked bodies against the parser that it replaces."""

from __future__ import annotations

import unittest

import h11
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from agatehoist.http1.chunked_body import ChunkedBody
from agatehoist.http1.errors import BadRequestError

MAX_LINE_BYTES = 200
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = st.sampled_from(
    [
        *(
            b"1\r\ny\r\n" * 70,
            b"1;a=b\r\n\n\r\n" * 65,
            b"1\r\ny\r\n" * 66 + b"1\ry\r\n",
        ),
        *(b"3\r\nabc\r\n", b"00A; x\t\r\n0123456789\r\n", b"2 \r\n\r\n\r\n"),
        *(
            b"0\r\n\r\n",
            b"0;x\r\nA: b\r\n\r\n",
            b"0\r\n A\r\n\r\n",
            b"-1\r\n",
            b"2\r\nab",
        ),
        *(b"\r", b"\n", b"1;\n\r\n", b"1;\r\r\ny\r\n", b"f" * 21, b"g\r\n", b";\r\n"),
    ]
)
BODIES = st.lists(CHUNKS | st.binary(max_size=3), max_size=6).map(b"".join)
PIECES = st.sampled_from([1, 2, 3, 7, 100, 10_000])


def decode(body: bytes, piece_bytes: int) -> tuple[bytes, bytes | None] | int:
    """Return the data and what follows it, or the status of the error."""
    chunks, data = ChunkedBody(MAX_LINE_BYTES), b""
    try:
        for start in range(0, len(body), piece_bytes):
            piece = body[start : start + piece_bytes]
            if chunks.rest is None:
                data += chunks.feed(piece)
            else:
                chunks.rest += piece
    except BadRequestError as error:
        return error.status
    if chunks.rest is None:
        return data, None
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_LINE_BYTES)
    return read_all(parser, [HEAD + chunks.rest], data)


def read_all(
    parser: h11.Connection, pieces: list[bytes], data: bytes = b""
) -> tuple[bytes, bytes | None] | int:
    """Return what the parser reads."""
    for position, piece in enumerate(pieces):
        parser.receive_data(piece)
        try:
            while (event := parser.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.EndOfMessage):
                    left = b"".join(pieces[position + 1 :])
                    return data, parser.trailing_data[0] + left
                data += event.data if isinstance(event, h11.Data) else b""
        except h11.RemoteProtocolError as error:
            return error.error_status_hint
    return data, None


class ChunkedBodyFuzzTests(unittest.TestCase):
    @given(BODIES, PIECES)
    def test_body_is_decoded_as_strictly_as_by_the_parser(
        self, body: bytes, piece_bytes: int
    ) -> None:
        """Servers that differ in where a body ends let callers smuggle requests."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_LINE_BYTES)
        starts = range(0, len(body), piece_bytes)
        pieces = [HEAD, *(body[each : each + piece_bytes] for each in starts)]
        self.assertEqual(decode(body, piece_bytes), read_all(parser, pieces))

    @parameterized.expand(
        [("line", b"1;" + b"e" * 500), ("data", b"fff\r\n" + b"y" * 500)]
    )
    def test_only_incomplete_lines_are_bounded(self, _name: str, body: bytes) -> None:
        found = decode(body, 50)
        self.assertEqual(found, 431 if body.startswith(b"1;") else (body[5:], None))
