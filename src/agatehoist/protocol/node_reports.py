"""Datagrams in which gateways tell each other their load and what was named."""

from __future__ import annotations

import functools
import hashlib
from dataclasses import dataclass

import msgpack

from agatehoist.protocol.errors import BadFrameError

VERSION = 3
MAX_DATAGRAM_BYTES = 1400
MAX_NAME_CHARACTERS = 200
# Two of 1,200 endpoints have the same key once in 400 million fleets.
KEY_BYTES = 6
MAX_CACHED_KEYS = 8192


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Count the runs on an endpoint and the prompt tokens it hasn't read yet."""

    runs: int
    unread_tokens: int


@dataclass(frozen=True, slots=True)
class Naming:
    """Say how long ago the node saw that weights were named, in milliseconds."""

    model: str
    version: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Hold what a node tells the others; a higher sequence number is newer.

    The start is the epoch time of the process in milliseconds, as numbers begin anew
    with each. A report that isn't whole leaves out the endpoints of which nothing has
    changed since the one before.
    """

    node: str
    started_ms: int
    sequence: int
    whole: bool
    loads_by_key: dict[bytes, EndpointLoad]
    namings: tuple[Naming, ...] = ()


@functools.lru_cache(MAX_CACHED_KEYS)
def endpoint_key(lifetime: str) -> bytes:
    """Return the short name of an endpoint's lifetime in reports."""
    return hashlib.blake2b(lifetime.encode(), digest_size=KEY_BYTES).digest()


def encode_report(report: NodeReport) -> bytes:
    """Return a datagram with the busiest endpoints that find room in it."""
    loads = sorted(
        report.loads_by_key.items(),
        key=lambda item: item[1].unread_tokens,
        reverse=True,
    )
    namings = [[each.model, each.version, each.age_ms] for each in report.namings]
    head = [VERSION, report.node, report.started_ms, report.sequence, report.whole]
    while True:
        listed = [[key, load.runs, load.unread_tokens] for key, load in loads]
        data: bytes = msgpack.packb([*head, namings, listed])
        if len(data) <= MAX_DATAGRAM_BYTES or not loads:
            return data
        loads = loads[: len(loads) * 3 // 4]


def decode_report(data: bytes) -> NodeReport:
    """Return the report in a datagram.

    Raises BadFrameError.
    """
    try:
        version, node, started_ms, sequence, whole, named, listed = msgpack.unpackb(
            data
        )
        if version != VERSION:
            raise ValueError(f"version {version!r}")
        numbers = [started_ms, sequence]
        namings = []
        for model, weights_version, age_ms in named:
            numbers += [weights_version, age_ms]
            namings.append(Naming(_text(model), weights_version, age_ms))
        loads_by_key = {}
        for key, runs, unread_tokens in listed:
            numbers += [runs, unread_tokens]
            loads_by_key[_key(key)] = EndpointLoad(runs, unread_tokens)
        if not all(type(each) is int and each >= 0 for each in numbers):
            raise ValueError("a count is no whole number")
        return NodeReport(
            _text(node),
            started_ms,
            sequence,
            whole is True,
            loads_by_key,
            tuple(namings),
        )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"no report of a node: {error}") from error


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        raise ValueError("a name is no text")
    return value


def _key(value: object) -> bytes:
    if not isinstance(value, bytes) or len(value) != KEY_BYTES:
        raise ValueError("a key is no six bytes")
    return value
