"""Datagrams in which gateways report their load and what endpoints have read.

They also tell when target weights were set.
"""

from __future__ import annotations

import functools
import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack

from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.protocol.datagrams import MAX_DATAGRAM_BYTES, NODE_REPORT
from agatehoist.protocol.decoding import bad_frames

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_NAME_CHARACTERS = 200
# More target weights would leave too little space for the load.
MAX_TARGET_AGES_BYTES = 600
# In a fleet of 1,200 endpoints, a key collision has a probability of 1 in 400 million.
KEY_BYTES = 6
MAX_CACHED_KEYS = 8192


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Count the runs on an endpoint and the prompt tokens it hasn't processed yet."""

    runs: int
    unprocessed_tokens: int


@dataclass(frozen=True, slots=True)
class TargetWeightsAge:
    """Tell how many milliseconds ago the node saw an operator set target weights."""

    model: str
    version: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class PartRead:
    """Tell that an endpoint has read a prompt part, and whether it saved it."""

    endpoint: bytes
    part: bytes
    tokens: int
    saved: bool


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Hold one report of a node; a higher sequence number is newer.

    Sequence numbers restart with the process, so started_ms has the epoch time of its
    start, in milliseconds. If `whole` is false, the report leaves out the
    endpoints whose load hasn't changed since the previous report. `reads` has the
    prompt parts that endpoints have read since then.
    """

    node: str
    started_ms: int
    sequence: int
    whole: bool
    loads_by_key: dict[bytes, EndpointLoad]
    target_ages: tuple[TargetWeightsAge, ...] = ()
    reads: tuple[PartRead, ...] = ()


@functools.lru_cache(MAX_CACHED_KEYS)
def endpoint_key(lifetime: str) -> bytes:
    """Return the key for an endpoint's lifetime, NAME@STARTED_MS, in reports."""
    return hashlib.blake2b(lifetime.encode(), digest_size=KEY_BYTES).digest()


@functools.lru_cache(MAX_CACHED_KEYS)
def part_key(salt: str, part_id: str) -> bytes:
    """Return the key for a prompt part under a cache salt in reports."""
    return hashlib.blake2b(f"{salt}/{part_id}".encode(), digest_size=KEY_BYTES).digest()


def encode_report(report: NodeReport) -> bytes:
    """Encode a report, with only the most loaded endpoints if not all fit."""
    loads = sorted(
        report.loads_by_key.items(),
        key=lambda item: item[1].unprocessed_tokens,
        reverse=True,
    )
    target_ages = _encode_target_ages(report.target_ages)
    header = [
        NODE_REPORT,
        report.node,
        report.started_ms,
        report.sequence,
        report.whole,
    ]
    reads = [
        [each.endpoint, each.part, each.tokens, each.saved] for each in report.reads
    ]
    while True:
        encoded_loads = [
            [key, load.runs, load.unprocessed_tokens] for key, load in loads
        ]
        data: bytes = msgpack.packb([*header, target_ages, reads, encoded_loads])
        if len(data) <= MAX_DATAGRAM_BYTES or not loads:
            return data
        loads = loads[: len(loads) * 3 // 4]


def _encode_target_ages(target_ages: Iterable[TargetWeightsAge]) -> list[list[Any]]:
    """Return the encoded target weights that fit into a report."""
    encoded: list[list[Any]] = []
    left_bytes = MAX_TARGET_AGES_BYTES
    for each in target_ages:
        fields = [each.model, each.version, each.age_ms]
        size = len(msgpack.packb(fields))
        if len(each.model) <= MAX_NAME_CHARACTERS and size <= left_bytes:
            encoded.append(fields)
            left_bytes -= size
    return encoded


def decode_report(data: bytes) -> NodeReport:
    """Decode the report in a datagram.

    Raises BadFrameError.
    """
    with bad_frames("node report"):
        (kind, *fields) = msgpack.unpackb(data)
        if kind != NODE_REPORT:
            raise ValueError(f"unexpected kind {describe(kind)}")
        node, started_ms, sequence, whole, target_ages, reads, loads = fields
        return NodeReport(
            checked_name(node),
            _checked_number(started_ms),
            _checked_number(sequence),
            whole is True,
            dict(_decode_load(*each) for each in loads),
            tuple(_decode_target_age(*each) for each in target_ages),
            tuple(_decode_read(*each) for each in reads),
        )


def _decode_load(
    key: Any, runs: Any, unprocessed_tokens: Any
) -> tuple[bytes, EndpointLoad]:
    load = EndpointLoad(_checked_number(runs), _checked_number(unprocessed_tokens))
    return checked_key(key), load


def _decode_target_age(model: Any, version: Any, age_ms: Any) -> TargetWeightsAge:
    return TargetWeightsAge(
        checked_name(model), _checked_number(version), _checked_number(age_ms)
    )


def _decode_read(endpoint: Any, part: Any, tokens: Any, saved: Any) -> PartRead:
    return PartRead(
        checked_key(endpoint), checked_key(part), _checked_number(tokens), saved is True
    )


def _checked_number(value: object) -> int:
    number = checked_integer(value)
    if number is None:
        raise ValueError(f"a non-negative integer expected, got {describe(value)}")
    return number


def checked_name(value: object) -> str:
    """Return a name from a datagram; raises ValueError if it isn't one."""
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        raise ValueError("a name is not a string or is too long")
    return value


def checked_key(value: object) -> bytes:
    """Return a key from a datagram; raises ValueError if it isn't one."""
    if not isinstance(value, bytes) or len(value) != KEY_BYTES:
        raise ValueError("a key is not six bytes long")
    return value
