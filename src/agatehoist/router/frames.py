"""Conversion of frames of the inner protocol to events of an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.attempts.types import (
    AttemptRefused,
    Ending,
    PiecesArrived,
    ReplyArrived,
    StreamEnded,
)
from agatehoist.core.registry import Registry
from agatehoist.protocol.messages import CallReply, CompletionEnd, Refused, Tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.attempts.types import AnswerEvent

FRAME_READERS: Registry[Callable[[Any], AnswerEvent]] = Registry("frame of an attempt")


def event_from_frame(frame: Any) -> AnswerEvent:
    """Return the attempt event that a frame of a sidecar reports.

    Raises UnknownNameError for a frame that isn't about an attempt.
    """
    return FRAME_READERS[type(frame)](frame)


@FRAME_READERS.register(Tokens)
def _read_tokens(frame: Tokens) -> AnswerEvent:
    return PiecesArrived(frame.attempt_id, frame.first, frame.texts)


@FRAME_READERS.register(CompletionEnd)
def _read_end(frame: CompletionEnd) -> AnswerEvent:
    ending = Ending(
        frame.token_count,
        frame.finish_reason,
        frame.prompt_tokens,
        frame.cached_tokens,
    )
    return StreamEnded(frame.attempt_id, ending)


@FRAME_READERS.register(CallReply)
def _read_reply(frame: CallReply) -> AnswerEvent:
    return ReplyArrived(frame.attempt_id, frame)


@FRAME_READERS.register(Refused)
def _read_refused(frame: Refused) -> AnswerEvent:
    return AttemptRefused(frame.attempt_id, frame.refusal)
