"""Decoding of the chunks of a body (RFC 9112, 7.1), as strictly as h11 does."""

from __future__ import annotations

import re

from agatehoist.http1.errors import BadRequestError

BAD_REQUEST = 400
HEADERS_TOO_LARGE = 431
LINE_END = b"\r\n"
# As in h11: chunk extensions aren't parsed, and blanks may follow. An extension
# includes the blanks behind it; matching them apart takes quadratic time.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;.*|[ \t]*)\r\n")
MAX_SHOWN_BYTES = 80
# Small chunks whose size lines are the same are decoded so many at a time.
BLOCK_CHUNKS = 64
MAX_BLOCK_CHUNK_BYTES = 128
# Preparing for a block costs as much as a few chunks, so it must be likely to be used.
MIN_EQUAL_CHUNKS = 4


class ChunkedBody:
    """Decode the chunks of a body up to its last one, which has no data.

    The caller of a body can choose chunks of one byte, so a parser event for each chunk
    would cost more than all the rest of a request.
    """

    def __init__(self, max_line_bytes: int) -> None:
        # The last chunk and what follows it, once it has been reached.
        self.rest: bytes | None = None
        # Bytes that have been decoded but belong to no data.
        self.framing_bytes = 0
        self._max_line_bytes = max_line_bytes
        self._buffer = b""
        # Of the current chunk, and whether its line end is still to come.
        self._left_bytes = 0
        self._is_open = False
        self._line = b""
        self._line_size = 0
        self._equal_chunks = 0
        self._block_framing: list[tuple[int, bytes]] = []

    def feed(self, data: bytes) -> bytes:
        """Decode bytes that have arrived and return the data in them.

        Raises BadRequestError.
        """
        buffer = self._buffer + data if self._buffer else data
        pieces: list[bytes] = []
        end, position = len(buffer), 0
        while position < end and self.rest is None:
            step = self._step(buffer, position, pieces)
            if not step:
                break
            position += step
        self._buffer = buffer[position:]
        if len(self._buffer) > self._max_line_bytes and self.rest is None:
            raise BadRequestError(HEADERS_TOO_LARGE, "chunk size line too long")
        found = b"".join(pieces)
        self.framing_bytes += position - len(found)
        return found

    def _step(self, buffer: bytes, position: int, pieces: list[bytes]) -> int:
        """Decode the next part; return its length, 0 if it isn't complete."""
        if self._left_bytes:
            data = buffer[position : position + self._left_bytes]
            self._left_bytes -= len(data)
            pieces.append(data)
            return len(data)
        if self._is_open:
            return self._end_chunk(buffer, position)
        if self._equal_chunks >= MIN_EQUAL_CHUNKS:
            length = self._take_block(buffer, position, pieces)
            if length:
                return length
            self._equal_chunks = 0
        return self._begin_chunk(buffer, position)

    def _end_chunk(self, buffer: bytes, position: int) -> int:
        found = buffer[position : position + len(LINE_END)]
        if found == LINE_END:
            self._is_open = False
            return len(LINE_END)
        if not LINE_END.startswith(found):
            raise BadRequestError(BAD_REQUEST, f"malformed chunk footer: {found!r}")
        return 0

    def _begin_chunk(self, buffer: bytes, position: int) -> int:
        if self._equal_chunks and buffer.startswith(self._line, position):
            # The line ends with the only line end in it.
            length = len(self._line)
        else:
            length = self._read_line(buffer, position)
            if not length:
                return 0
        self._equal_chunks += 1
        self._left_bytes = self._line_size
        self._is_open = True
        return length

    def _read_line(self, buffer: bytes, position: int) -> int:
        match = SIZE_LINE.match(buffer, position)
        if match is None:
            line_end = buffer.find(LINE_END, position)
            if line_end < 0:
                return 0
            shown = buffer[position : min(line_end, position + MAX_SHOWN_BYTES)]
            raise BadRequestError(BAD_REQUEST, f"illegal chunk header: {shown!r}")
        size = int(match[1], base=16)
        if not size:
            self.rest = buffer[position:]
            return 0
        self._line, self._line_size = match[0], size
        self._equal_chunks, self._block_framing = 0, []
        return len(self._line)

    def _take_block(self, buffer: bytes, position: int, pieces: list[bytes]) -> int:
        """Decode a block of chunks that are framed alike; return its length, or 0."""
        size, line_bytes = self._line_size, len(self._line)
        chunk_bytes = line_bytes + size + len(LINE_END)
        length = BLOCK_CHUNKS * chunk_bytes
        if chunk_bytes > MAX_BLOCK_CHUNK_BYTES or len(buffer) - position < length:
            return 0
        if not self._block_framing:
            framing = self._line + bytes(size) + LINE_END
            offsets = (*range(line_bytes), chunk_bytes - 2, chunk_bytes - 1)
            self._block_framing = [
                (each, framing[each : each + 1] * BLOCK_CHUNKS) for each in offsets
            ]
        block = buffer[position : position + length]
        if any(block[each::chunk_bytes] != same for each, same in self._block_framing):
            return 0
        data = bytearray(size * BLOCK_CHUNKS)
        for offset in range(size):
            data[offset::size] = block[line_bytes + offset :: chunk_bytes]
        pieces.append(bytes(data))
        return length
