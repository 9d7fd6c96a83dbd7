"""Encoded points from which a caller can resume an answer on any router."""

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
MAX_RESUME_POINT_CHARACTERS = 1024


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Identify an attempt, its deadline in epoch seconds and the next token's index."""

    target: Target
    deadline: float
    first: int


def encode_resume_point(point: ResumePoint) -> str:
    """Encode a resume point for a header or an event id."""
    attempt_id = point.target.attempt_id
    # The order of the fields is part of the format.
    fields = [
        point.target.host,
        point.target.sidecar_incarnation,
        attempt_id.router_incarnation,
        attempt_id.sequence,
        point.deadline,
        point.first,
    ]
    return base64.urlsafe_b64encode(msgpack.packb(fields)).decode().rstrip("=")


def decode_resume_point(text: str) -> ResumePoint:
    """Decode a resume point.

    Raises RequestRefusedError.
    """
    try:
        if len(text) > MAX_RESUME_POINT_CHARACTERS:
            raise ValueError("too long")
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        host, sidecar, router, sequence, deadline, first = msgpack.unpackb(data)
        # `sidecar` and `router` are the incarnations of these processes.
        if not all(isinstance(each, str) for each in (host, sidecar, router)):
            raise ValueError("a field has the wrong type")
        if type(sequence) is not int or type(first) is not int or first < 0:
            raise ValueError("a field has the wrong type or is negative")
        if type(deadline) is not float or not math.isfinite(deadline):
            raise ValueError("the deadline is not a finite number")
        attempt_id = AttemptId(router, sequence)
        target = Target(attempt_id, host, sidecar)
        return ResumePoint(target, deadline, first)
    except (ValueError, TypeError, binascii.Error, msgpack.UnpackException) as error:
        detail = f"{RESUME_HEADER} is not a valid resume point: {error}"
        raise InvalidParameter.refuse(detail) from error
