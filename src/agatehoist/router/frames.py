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

EVENT_CONVERTERS: Registry[Callable[[Any], AnswerEvent]] = Registry(
    "frame of an attempt"
)


def event_from_frame(frame: Any) -> AnswerEvent:
    """Return the attempt event that a frame of a sidecar reports.

    Raises UnknownNameError for a frame that isn't about an attempt.
    """
    return EVENT_CONVERTERS[type(frame)](frame)


@EVENT_CONVERTERS.register(Tokens)
def _convert_tokens(frame: Tokens) -> AnswerEvent:
    return PiecesArrived(frame.attempt_id, frame.first, frame.texts)


@EVENT_CONVERTERS.register(CompletionEnd)
def _convert_end(frame: CompletionEnd) -> AnswerEvent:
    ending = Ending(
        frame.token_count,
        frame.finish_reason,
        frame.prompt_tokens,
        frame.cached_tokens,
    )
    return StreamEnded(frame.attempt_id, ending)


@EVENT_CONVERTERS.register(CallReply)
def _convert_reply(frame: CallReply) -> AnswerEvent:
    return ReplyArrived(frame.attempt_id, frame)


@EVENT_CONVERTERS.register(Refused)
def _convert_refused(frame: Refused) -> AnswerEvent:
    return AttemptRefused(frame.attempt_id, frame.refusal)
