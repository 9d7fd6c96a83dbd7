"""Datagrams in which gateways ask for leases on allotments, and their answers.

They carry durations instead of times, since the clocks of the gateways differ.
"""

from __future__ import annotations

import functools
import hashlib
from typing import Any

import msgpack

from agatehoist.core.address import Address, checked_address
from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.limits.allotment_node import (
    DIGEST_BYTES,
    MAX_ASKS,
    AskBatch,
    GrantBatch,
)
from agatehoist.limits.allotments import AllotmentAsk, AllotmentGrant, Terms
from agatehoist.protocol.datagrams import ALLOTMENT_ASKS, ALLOTMENT_GRANTS
from agatehoist.protocol.decoding import bad_frames
from agatehoist.protocol.node_reports import KEY_BYTES, MAX_CACHED_KEYS, checked_key

# Of a rate, a burst, an amount or a number of seconds.
MAX_NUMBER = 1e15


@functools.lru_cache(MAX_CACHED_KEYS)
def organisation_key(name: str) -> bytes:
    """Return the key for an organisation in messages."""
    return hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def encode_asks(batch: AskBatch) -> bytes:
    """Encode a batch of asks."""
    asks = [
        [
            each.organisation,
            *_terms_fields(each.terms),
            float(each.first),
            float(each.need),
            float(each.wish),
            float(each.held),
            float(each.returned),
            each.delegates,
        ]
        for each in batch.asks
    ]
    data: bytes = msgpack.packb(
        [
            ALLOTMENT_ASKS,
            batch.sender.host,
            batch.sender.port,
            batch.number,
            batch.node_count,
            batch.nodes_digest,
            batch.delegates,
            batch.is_new,
            batch.wants_answer,
            asks,
        ]
    )
    return data


def decode_asks(data: bytes) -> AskBatch:
    """Decode a batch of asks.

    Raises BadFrameError.
    """
    with bad_frames("asks for allotments"):
        kind, host, port, number, count, digest, *flags, asks = msgpack.unpackb(data)
        if kind != ALLOTMENT_ASKS:
            raise ValueError(f"unexpected kind {describe(kind)}")
        delegates, is_new, wants_answer = (each is True for each in flags)
        if not isinstance(digest, bytes) or len(digest) != DIGEST_BYTES:
            raise ValueError("a digest has another length")
        return AskBatch(
            _sender(host, port),
            _integer(number),
            _integer(count),
            digest,
            delegates,
            is_new,
            wants_answer,
            tuple(_decode_ask(*each) for each in _short(asks)),
        )


def encode_grants(batch: GrantBatch) -> bytes:
    """Encode an answer."""
    grants = [
        [
            each.organisation,
            *_terms_fields(each.terms),
            float(each.amount),
            float(each.retry_s),
        ]
        for each in batch.grants
    ]
    data: bytes = msgpack.packb(
        [ALLOTMENT_GRANTS, batch.number, batch.node_count, grants]
    )
    return data


def decode_grants(data: bytes) -> GrantBatch:
    """Decode an answer.

    Raises BadFrameError.
    """
    with bad_frames("grants of allotments"):
        kind, number, count, grants = msgpack.unpackb(data)
        if kind != ALLOTMENT_GRANTS:
            raise ValueError(f"unexpected kind {describe(kind)}")
        return GrantBatch(
            _integer(number),
            _integer(count),
            tuple(_decode_grant(*each) for each in _short(grants)),
        )


def _terms_fields(terms: Terms) -> tuple[int, float, float]:
    return terms.version, float(terms.rate_per_s), float(terms.burst)


def _decode_ask(
    organisation: Any, version: Any, rate: Any, burst: Any, *fields: Any
) -> AllotmentAsk:
    *amounts, delegates = fields
    first, need, wish, held, returned = (_number(each) for each in amounts)
    return AllotmentAsk(
        checked_key(organisation),
        _decode_terms(version, rate, burst),
        first,
        need,
        wish,
        held,
        returned,
        delegates is True,
    )


def _decode_grant(
    organisation: Any, version: Any, rate: Any, burst: Any, amount: Any, retry_s: Any
) -> AllotmentGrant:
    return AllotmentGrant(
        checked_key(organisation),
        _decode_terms(version, rate, burst),
        _number(amount),
        _number(retry_s),
    )


def _decode_terms(version: Any, rate: Any, burst: Any) -> Terms:
    return Terms(_integer(version), _number(rate), _number(burst))


def _sender(host: Any, port: Any) -> Address:
    address = checked_address(host, port)
    if address is None:
        raise ValueError("the sender is not an address")
    return address


def _short(values: Any) -> list[Any]:
    if not isinstance(values, list) or len(values) > MAX_ASKS:
        raise ValueError("a list is missing or too long")
    return values


def _integer(value: Any) -> int:
    number = checked_integer(value)
    if number is None:
        raise ValueError(f"a non-negative integer expected, got {describe(value)}")
    return number


def _number(value: Any) -> float:
    if type(value) is not float or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"a number is out of range: {describe(value)}")
    return value
