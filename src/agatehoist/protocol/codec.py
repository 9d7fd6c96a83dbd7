"""Encoding of messages as a msgpack stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from agatehoist.errors import UnknownNameError

# Imported for their effect: the decorators in these modules register the messages.
from agatehoist.protocol import (  # noqa: F401
    attempt_messages,
    authentication,
    gossip_messages,
    limit_messages,
)
from agatehoist.protocol.decoding import bad_frames
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.messages import CODES_BY_TYPE, MESSAGES
from agatehoist.protocol.validation import MAX_ARRAY_ITEMS, ItemCount, make_converter

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FRAME_BYTES = 8 * 1024 * 1024
UNPACKER_READ_BYTES = 4096

_converter = make_converter()


def encode(message: object) -> bytes:
    """Return the bytes of one message."""
    code = CODES_BY_TYPE[type(message)]
    return msgpack.packb([code, _converter.unstructure(message)])


class Decoder:
    """Decode received bytes into messages, with a limit on the frame size.

    A msgpack.Unpacker allocates 44 KiB, so it is kept only while a frame is
    incomplete; hundreds of links are idle at any time.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._items = ItemCount()
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_bytes = 0
        self._decoded_bytes = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each message that the data completes.

        Raises BadFrameError on invalid bytes.
        """
        with bad_frames("msgpack frame"):
            for frame in self._unpack(data):
                yield _decode_frame(frame)

    def _unpack(self, data: bytes) -> Iterator[Any]:
        unpacker = self._unpacker or self._new_unpacker()
        unpacker.feed(data)
        self._fed_bytes += len(data)
        for frame in unpacker:
            # The C and Python unpackers agree on tell() only between frames.
            self._decoded_bytes = unpacker.tell()
            self._items.reset()
            yield frame
        if self._fed_bytes - self._decoded_bytes > self.max_frame_bytes:
            raise BadFrameError(f"frame exceeds {self.max_frame_bytes} bytes")
        complete = self._fed_bytes == self._decoded_bytes
        self._unpacker = None if complete else unpacker

    def _new_unpacker(self) -> msgpack.Unpacker:
        self._fed_bytes = 0
        self._decoded_bytes = 0
        self._items.reset()
        return msgpack.Unpacker(
            max_buffer_size=max(self.max_frame_bytes, MAX_FRAME_BYTES),
            read_size=UNPACKER_READ_BYTES,
            max_array_len=MAX_ARRAY_ITEMS,
            max_map_len=MAX_ARRAY_ITEMS,
            max_ext_len=0,
            list_hook=self._items.add,
            object_hook=self._items.add,
        )


def _decode_frame(frame: Any) -> Any:
    if not isinstance(frame, list) or len(frame) != 2:
        raise BadFrameError("frame is not a pair of message code and fields")
    code, fields = frame
    if type(code) is not int:
        raise BadFrameError("message code is not an integer")
    try:
        return _converter.structure(fields, MESSAGES[code])
    except UnknownNameError as error:
        raise BadFrameError(str(error)) from error
    except Exception as error:
        raise BadFrameError(f"message {code} has invalid fields") from error
