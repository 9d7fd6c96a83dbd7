"""Datagrams in which gateways tell each other what endpoints say of themselves.

They carry ages instead of times, since the clocks of the nodes differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.core.units import MS_PER_S
from agatehoist.fleet.statements import MAX_LIMIT_PER_S, NOTICE_VALID_S, Notice
from agatehoist.protocol.datagrams import ENDPOINT_NOTICES
from agatehoist.protocol.decoding import bad_frames
from agatehoist.protocol.node_reports import checked_key

if TYPE_CHECKING:
    from collections.abc import Iterable

# With all of them, a datagram takes some 1,200 bytes.
MAX_NOTICES = 48
MAX_AGE_MS = int(NOTICE_VALID_S * MS_PER_S)


def encode_notices(notices: Iterable[Notice], now: float) -> bytes:
    """Encode notices with times in epoch seconds; only the first ones fit."""
    encoded = [
        [
            each.endpoint,
            None if each.limit_per_s is None else float(each.limit_per_s),
            each.leaving,
            _age_ms(each.stated_at, now),
        ]
        for each in notices
    ]
    data: bytes = msgpack.packb([ENDPOINT_NOTICES, encoded[:MAX_NOTICES]])
    return data


def decode_notices(data: bytes, sent_at: float) -> tuple[Notice, ...]:
    """Decode the notices in a datagram that was sent at a time.

    Raises BadFrameError.
    """
    with bad_frames("notices"):
        kind, encoded = msgpack.unpackb(data)
        if kind != ENDPOINT_NOTICES:
            raise ValueError(f"unexpected kind {describe(kind)}")
        if not isinstance(encoded, list) or len(encoded) > MAX_NOTICES:
            raise ValueError("the notices are not a short list")
        return tuple(_decode_notice(each, sent_at) for each in encoded)


def _decode_notice(fields: Any, sent_at: float) -> Notice:
    endpoint, limit_per_s, leaving, age_ms = fields
    if limit_per_s is not None and not (
        type(limit_per_s) is float and 0 <= limit_per_s <= MAX_LIMIT_PER_S
    ):
        raise ValueError(f"limit is out of range: {describe(limit_per_s)}")
    checked_age_ms = checked_integer(age_ms, MAX_AGE_MS)
    if checked_age_ms is None:
        raise ValueError(f"age in ms is out of range: {describe(age_ms)}")
    stated_at = sent_at - checked_age_ms / MS_PER_S
    return Notice(checked_key(endpoint), limit_per_s, leaving is True, stated_at)


def _age_ms(stated_at: float, now: float) -> int:
    return min(MAX_AGE_MS, max(0, round((now - stated_at) * MS_PER_S)))
