"""Datagrams in which gateways tell each other what they have handed out."""

from __future__ import annotations

from dataclasses import dataclass

import msgpack

from agatehoist.protocol.errors import BadFrameError

VERSION = 1
MAX_DATAGRAM_BYTES = 1400
MAX_NAME_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Count the runs on an endpoint and the prompt tokens it hasn't read yet."""

    runs: int
    unread_tokens: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what a node has handed out; a higher sequence number is newer.

    The start is the epoch time of the process in milliseconds, as numbers begin anew
    with each.
    """

    node: str
    started_ms: int
    sequence: int
    loads_by_lifetime: dict[str, EndpointLoad]


def encode_report(report: LoadReport) -> bytes:
    """Return a datagram with the busiest endpoints that find room in it."""
    loads = sorted(
        report.loads_by_lifetime.items(),
        key=lambda item: item[1].unread_tokens,
        reverse=True,
    )
    while True:
        listed = [[name, load.runs, load.unread_tokens] for name, load in loads]
        head = [VERSION, report.node, report.started_ms, report.sequence]
        data: bytes = msgpack.packb([*head, listed])
        if len(data) <= MAX_DATAGRAM_BYTES or not loads:
            return data
        loads = loads[: len(loads) * 3 // 4]


def decode_report(data: bytes) -> LoadReport:
    """Return the report in a datagram.

    Raises BadFrameError.
    """
    try:
        version, node, started_ms, sequence, listed = msgpack.unpackb(data)
        if version != VERSION:
            raise ValueError(f"version {version!r}")
        numbers = [started_ms, sequence]
        loads_by_lifetime = {}
        for name, runs, unread_tokens in listed:
            numbers += [runs, unread_tokens]
            loads_by_lifetime[_text(name)] = EndpointLoad(runs, unread_tokens)
        if not all(type(each) is int and each >= 0 for each in numbers):
            raise ValueError("a count is no whole number")
        return LoadReport(_text(node), started_ms, sequence, loads_by_lifetime)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"no load report: {error}") from error


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
        raise ValueError("a name is no text")
    return value
