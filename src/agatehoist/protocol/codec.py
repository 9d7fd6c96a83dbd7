"""Encoding of messages as a msgpack stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack
from cattrs.preconf.msgpack import make_converter

from agatehoist.errors import UnknownNameError
from agatehoist.protocol import attempt_messages  # noqa: F401
from agatehoist.protocol.errors import BadFrameError
from agatehoist.protocol.messages import CODES_BY_TYPE, MESSAGES

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FRAME_BYTES = 8 * 1024 * 1024

_converter = make_converter()


def encode(message: object) -> bytes:
    """Return the bytes of one message."""
    code = CODES_BY_TYPE[type(message)]
    return msgpack.packb([code, _converter.unstructure(message)])


class Decoder:
    """Turn received bytes into messages."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=max_frame_bytes)

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each message that the data completes.

        Raises BadFrameError on bytes that are no message.
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield _decode_frame(frame)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise BadFrameError(f"no msgpack frame: {error}") from error


def _decode_frame(frame: Any) -> Any:
    if not isinstance(frame, list) or len(frame) != 2:
        raise BadFrameError("frame is no pair of code and fields")
    code, fields = frame
    try:
        return _converter.structure(fields, MESSAGES[code])
    except UnknownNameError as error:
        raise BadFrameError(str(error)) from error
    except Exception as error:
        raise BadFrameError(f"message {code} has wrong fields") from error
