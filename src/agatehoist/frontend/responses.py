"""Encoding of responses in the format of the OpenAI API."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from starlette.responses import JSONResponse

from agatehoist.refusals.kinds import REFUSALS

if TYPE_CHECKING:
    from agatehoist.refusals.types import Refusal
    from agatehoist.router.requests import Finished

END_OF_STREAM = b"data: [DONE]\n\n"
CHAT_PATH = "/v1/chat/completions"


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """Hold the fields that the body, or every chunk, of one answer has."""

    path: str
    answer_id: str
    created: int
    model: str

    @property
    def is_chat(self) -> bool:
        """Return whether the answer belongs to a chat completion."""
        return self.path == CHAT_PATH


def render_complete_answer(
    answer_fields: AnswerFields, text: str, end: Finished
) -> dict[str, Any]:
    """Return the body of a complete answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
    if answer_fields.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        **_common_fields(answer_fields, False),
        "choices": [choice],
        "usage": _usage(end),
    }


def render_delta(answer_fields: AnswerFields, text: str, resume_point: str) -> bytes:
    """Return the event of a piece of the answer, with the resume point as its id."""
    event = _event(
        {
            **_common_fields(answer_fields, True),
            "choices": [_choice(answer_fields, text, None)],
        }
    )
    return f"id: {resume_point}\n".encode() + event


def render_stream_end(
    answer_fields: AnswerFields, end: Finished, with_usage: bool
) -> bytes:
    """Return the events that end a complete stream."""
    choice = _choice(answer_fields, "", end.finish_reason)
    events = _event({**_common_fields(answer_fields, True), "choices": [choice]})
    if with_usage:
        events += _event(
            {**_common_fields(answer_fields, True), "choices": [], "usage": _usage(end)}
        )
    return events + END_OF_STREAM


def render_stream_error(refusal: Refusal) -> bytes:
    """Return the event that reports a stream that ended early."""
    return _event(error_body(refusal))


def render_refusal(refusal: Refusal, now: float) -> JSONResponse:
    """Return the HTTP response of a refusal; `now` is in epoch seconds."""
    refusal_kind = REFUSALS[refusal.code]
    headers = {}
    if refusal.retry_at is not None:
        headers["retry-after"] = str(max(1, math.ceil(refusal.retry_at - now)))
    return JSONResponse(error_body(refusal), int(refusal_kind.status), headers)


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return the error object of a refusal."""
    return {
        "error": {
            "message": refusal.detail,
            "type": REFUSALS[refusal.code].error_type,
            "param": None,
            "code": refusal.code,
            # Whether the request ran: yes, no or unknown.
            "run": str(refusal.run),
        }
    }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def _common_fields(answer_fields: AnswerFields, chunk: bool) -> dict[str, Any]:
    if answer_fields.is_chat:
        object_name = "chat.completion.chunk" if chunk else "chat.completion"
    else:
        object_name = "text_completion"
    return {
        "id": answer_fields.answer_id,
        "object": object_name,
        "created": answer_fields.created,
        "model": answer_fields.model,
    }


def _choice(
    answer_fields: AnswerFields, text: str, finish_reason: str | None
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if answer_fields.is_chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    return choice


def _usage(end: Finished) -> dict[str, Any]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }
