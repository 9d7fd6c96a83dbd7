"""Requests for permits between gateways, and the replies.

They carry times relative to the reply, since the clocks of the nodes differ.
"""

from __future__ import annotations

import math
from typing import Any

import msgpack

from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.statements import MAX_LIMIT_PER_S
from agatehoist.limits.endpoint_permits import Permit, PermitRequest
from agatehoist.protocol.decoding import bad_frames
from agatehoist.protocol.node_reports import checked_key

PERMIT_TARGET = b"/permit"
VERSION = 1
MAX_PRIORITY = 100
MAX_RETRY_MS = 3600 * 1000


def encode_permit_request(request: PermitRequest) -> bytes:
    """Encode a request."""
    data: bytes = msgpack.packb(
        [VERSION, request.endpoint, float(request.limit_per_s), request.priority]
    )
    return data


def decode_permit_request(data: bytes) -> PermitRequest:
    """Decode a request.

    Raises BadFrameError.
    """
    with bad_frames("request for a permit"):
        version, endpoint, limit_per_s, priority = msgpack.unpackb(data)
        _check_version(version)
        if type(limit_per_s) is not float or not 0 <= limit_per_s <= MAX_LIMIT_PER_S:
            raise ValueError(f"limit is out of range: {describe(limit_per_s)}")
        _check_integer("priority", priority, MAX_PRIORITY)
        return PermitRequest(checked_key(endpoint), limit_per_s, priority)


def encode_permit(permit: Permit, now: float) -> bytes:
    """Encode a permit; its time is in epoch seconds."""
    retry_ms = math.ceil(max(0.0, permit.retry_at - now) * MS_PER_S)
    data: bytes = msgpack.packb([VERSION, permit.granted, min(retry_ms, MAX_RETRY_MS)])
    return data


def decode_permit(data: bytes, now: float) -> Permit:
    """Decode a permit that has just arrived.

    Raises BadFrameError.
    """
    with bad_frames("permit"):
        version, granted, retry_ms = msgpack.unpackb(data)
        _check_version(version)
        _check_integer("retry delay", retry_ms, MAX_RETRY_MS)
        return Permit(granted is True, now + retry_ms / MS_PER_S)


def _check_version(version: Any) -> None:
    if version != VERSION:
        raise ValueError(f"unsupported version {describe(version)}")


def _check_integer(name: str, value: Any, most: int) -> None:
    if checked_integer(value, most) is None:
        raise ValueError(f"{name} is not between 0 and {most}: {describe(value)}")
