"""Frames of the inner protocol as events of an attempt."""

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

READERS: Registry[Callable[[Any], AnswerEvent]] = Registry("frame of an attempt")


def event_of(frame: Any) -> AnswerEvent:
    """Return what a sidecar's frame says of its attempt.

    Raises UnknownNameError for a frame that isn't about an attempt.
    """
    return READERS[type(frame)](frame)


@READERS.register(Tokens)
def _read_tokens(frame: Tokens) -> AnswerEvent:
    return PiecesArrived(frame.attempt_id, frame.first, frame.texts)


@READERS.register(CompletionEnd)
def _read_end(frame: CompletionEnd) -> AnswerEvent:
    ending = Ending(
        frame.token_count,
        frame.finish_reason,
        frame.prompt_tokens,
        frame.cached_tokens,
    )
    return StreamEnded(frame.attempt_id, ending)


@READERS.register(CallReply)
def _read_reply(frame: CallReply) -> AnswerEvent:
    return ReplyArrived(frame.attempt_id, frame)


@READERS.register(Refused)
def _read_refused(frame: Refused) -> AnswerEvent:
    return AttemptRefused(frame.attempt_id, frame.refusal)
