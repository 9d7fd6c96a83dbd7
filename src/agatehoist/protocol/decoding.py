"""Decoding of messages whose bytes may be anything."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from agatehoist.protocol.errors import BadFrameError

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REASON_CHARACTERS = 200


@contextmanager
def bad_frames(message: str) -> Iterator[None]:
    """Raise BadFrameError for whatever the decoding of a message raises."""
    try:
        yield
    except BadFrameError:
        raise
    except Exception as error:
        reason = f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
        raise BadFrameError(f"invalid {message}: {reason}") from error
