"""Datagrams in which gateways report their load and what endpoints have read.

They also tell when target weights were set.
"""

from __future__ import annotations

import functools
import hashlib
from dataclasses import dataclass

import msgpack

from agatehoist.protocol.datagrams import MAX_DATAGRAM_BYTES, NODE_REPORT
from agatehoist.protocol.errors import BadFrameError

MAX_NAME_CHARACTERS = 200
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
    target_ages = [
        [each.model, each.version, each.age_ms] for each in report.target_ages
    ]
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


def decode_report(data: bytes) -> NodeReport:
    """Decode the report in a datagram.

    Raises BadFrameError.
    """
    try:
        (kind, *fields) = msgpack.unpackb(data)
        if kind != NODE_REPORT:
            raise ValueError(f"unexpected kind {kind!r}")
        node, started_ms, sequence, whole, encoded_ages, encoded_reads, loads = fields
        integers = [started_ms, sequence]
        target_ages = []
        for model, weights_version, age_ms in encoded_ages:
            integers += [weights_version, age_ms]
            target_ages.append(
                TargetWeightsAge(_checked_name(model), weights_version, age_ms)
            )
        loads_by_key = {}
        for key, runs, unprocessed_tokens in loads:
            integers += [runs, unprocessed_tokens]
            loads_by_key[checked_key(key)] = EndpointLoad(runs, unprocessed_tokens)
        reads = []
        for endpoint, part, tokens, saved in encoded_reads:
            integers.append(tokens)
            reads.append(
                PartRead(
                    checked_key(endpoint), checked_key(part), tokens, saved is True
                )
            )
        if not all(type(each) is int and each >= 0 for each in integers):
            raise ValueError("a number is not a non-negative integer")
        return NodeReport(
            _checked_name(node),
            started_ms,
            sequence,
            whole is True,
            loads_by_key,
            tuple(target_ages),
            tuple(reads),
        )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"invalid node report: {error}") from error


def _checked_name(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        raise ValueError("a name is not a string or is too long")
    return value


def checked_key(value: object) -> bytes:
    """Return a key from a datagram; raises ValueError if it isn't one."""
    if not isinstance(value, bytes) or len(value) != KEY_BYTES:
        raise ValueError("a key is not six bytes long")
    return value
