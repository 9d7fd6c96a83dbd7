"""Tokens with which a caller resumes an answer through any router."""

from __future__ import annotations

import base64
import binascii
import math
from dataclasses import dataclass

import msgpack

from agatehoist.attempts.types import Target
from agatehoist.core.identity import AttemptId
from agatehoist.refusals.kinds import InvalidParameter

RESUME_HEADER = "x-agatehoist-resume"
MAX_TOKEN_LENGTH = 1024


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Name an attempt, its deadline and the first token that is missing."""

    target: Target
    deadline: float
    first: int


def encode_point(point: ResumePoint) -> str:
    """Return the text of a resume point."""
    attempt_id = point.target.attempt_id
    fields = [
        point.target.host,
        point.target.sidecar_incarnation,
        attempt_id.router_incarnation,
        attempt_id.sequence,
        point.deadline,
        point.first,
    ]
    return base64.urlsafe_b64encode(msgpack.packb(fields)).decode().rstrip("=")


def decode_point(text: str) -> ResumePoint:
    """Return the resume point of a text.

    Raises RequestRefusedError.
    """
    try:
        if len(text) > MAX_TOKEN_LENGTH:
            raise ValueError("too long")
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        host, incarnation, router, sequence, deadline, first = msgpack.unpackb(data)
        if not all(isinstance(each, str) for each in (host, incarnation, router)):
            raise ValueError("wrong type")
        if type(sequence) is not int or type(first) is not int or first < 0:
            raise ValueError("wrong type")
        if type(deadline) is not float or not math.isfinite(deadline):
            raise ValueError("no deadline")
        attempt_id = AttemptId(router, sequence)
        target = Target(attempt_id, host, incarnation)
        return ResumePoint(target, deadline, first)
    except (ValueError, TypeError, binascii.Error, msgpack.UnpackException) as error:
        detail = f"{RESUME_HEADER} holds no resume point: {error}"
        raise InvalidParameter.refuse(detail) from error
