"""Encoding of messages as a msgpack stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from agatehoist.errors import UnknownNameError
from agatehoist.protocol import (  # noqa: F401
    attempt_messages,
    authentication,
    gossip_messages,
    limit_messages,
)
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.messages import CODES_BY_TYPE, MESSAGES
from agatehoist.protocol.strict import MAX_ARRAY_ITEMS, ItemCount, make_converter

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FRAME_BYTES = 8 * 1024 * 1024
READ_BYTES = 4096

_converter = make_converter()


def encode(message: object) -> bytes:
    """Return the bytes of one message."""
    code = CODES_BY_TYPE[type(message)]
    return msgpack.packb([code, _converter.unstructure(message)])


class Decoder:
    """Turn received bytes into messages of a bounded size.

    The unpacker of the library holds 44 KiB, so it lasts only while a frame is
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

        Raises BadFrameError on bytes that are no message.
        """
        try:
            for frame in self._unpack(data):
                yield _decode_frame(frame)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise BadFrameError(f"no msgpack frame: {error}") from error

    def _unpack(self, data: bytes) -> Iterator[Any]:
        unpacker = self._unpacker or self._new_unpacker()
        unpacker.feed(data)
        self._fed_bytes += len(data)
        for frame in unpacker:
            # Between frames alone the C and the Python unpacker tell the same.
            self._decoded_bytes = unpacker.tell()
            self._items.reset()
            yield frame
        if self._fed_bytes - self._decoded_bytes > self.max_frame_bytes:
            raise BadFrameError(f"frame is over {self.max_frame_bytes} bytes")
        complete = self._fed_bytes == self._decoded_bytes
        self._unpacker = None if complete else unpacker

    def _new_unpacker(self) -> msgpack.Unpacker:
        self._fed_bytes = 0
        self._decoded_bytes = 0
        self._items.reset()
        return msgpack.Unpacker(
            max_buffer_size=max(self.max_frame_bytes, MAX_FRAME_BYTES),
            read_size=READ_BYTES,
            max_array_len=MAX_ARRAY_ITEMS,
            max_map_len=MAX_ARRAY_ITEMS,
            max_ext_len=0,
            list_hook=self._items.add,
            object_hook=self._items.add,
        )


def _decode_frame(frame: Any) -> Any:
    if not isinstance(frame, list) or len(frame) != 2:
        raise BadFrameError("frame is no pair of code and fields")
    code, fields = frame
    if type(code) is not int:
        raise BadFrameError("code is no integer")
    try:
        return _converter.structure(fields, MESSAGES[code])
    except UnknownNameError as error:
        raise BadFrameError(str(error)) from error
    except Exception as error:
        raise BadFrameError(f"message {code} has wrong fields") from error
