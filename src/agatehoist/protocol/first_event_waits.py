"""Datagrams in which gateways report how long requests wait at slow endpoints."""

from __future__ import annotations

import msgpack

from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.core.units import MS_PER_S
from agatehoist.protocol.datagrams import FIRST_EVENT_WAITS
from agatehoist.protocol.decoding import bad_frames
from agatehoist.protocol.node_reports import checked_key

MAX_WAITS = 8
MAX_WAIT_MS = 60_000


def encode_waits(waits_s_by_key: dict[bytes, float]) -> bytes:
    """Encode the longest waits, by the keys of their endpoints."""
    longest = sorted(waits_s_by_key.items(), key=lambda item: item[1], reverse=True)
    encoded = [
        [key, min(MAX_WAIT_MS, round(wait_s * MS_PER_S))]
        for key, wait_s in longest[:MAX_WAITS]
    ]
    data: bytes = msgpack.packb([FIRST_EVENT_WAITS, encoded])
    return data


def decode_waits(data: bytes) -> dict[bytes, float]:
    """Decode the waits in a datagram.

    Raises BadFrameError.
    """
    with bad_frames("waits for first events"):
        kind, waits = msgpack.unpackb(data)
        if kind != FIRST_EVENT_WAITS or len(waits) > MAX_WAITS:
            raise ValueError(f"unexpected kind or length: {describe(kind)}")
        return {checked_key(key): _checked_wait_s(wait_ms) for key, wait_ms in waits}


def _checked_wait_s(wait_ms: object) -> float:
    number = checked_integer(wait_ms, MAX_WAIT_MS)
    if number is None:
        raise ValueError(f"wait is out of range: {describe(wait_ms)}")
    return number / MS_PER_S
