"""Request traces and their files."""

from __future__ import annotations

import gzip
from dataclasses import astuple, dataclass, replace
from pathlib import Path
from typing import Any

import msgpack

from agatehoist.core.work import Priority

TRACE_FOLDER = Path(__file__).parent.parent / "traces"


@dataclass(frozen=True, slots=True)
class Part:
    """Identify a part of a prompt; parts with equal ids have equal text."""

    part_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """Hold one request; arrives_at is in seconds since the start of the trace."""

    arrives_at: float
    organisation: str
    data_centre: str
    priority: Priority
    parts: tuple[Part, ...]
    answer_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens of all parts."""
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True, slots=True)
class Crash:
    """Describe a host's crash and restart with an empty cache; times are in seconds."""

    host: str
    fails_at: float
    returns_at: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe the fleet of a trace; the delays are one-way."""

    name: str
    data_centres: tuple[str, ...]
    hosts: tuple[str, ...]
    between_data_centres_s: float
    to_clients_s: float
    cache_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    policy: str

    def data_centre_of(self, host: str) -> str:
        """Return the data centre of a host."""
        index = self.hosts.index(host)
        return self.data_centres[index % len(self.data_centres)]


@dataclass(frozen=True, slots=True)
class Trace:
    """Hold a deployment, its requests and its crashes."""

    deployment: Deployment
    requests: tuple[TraceRequest, ...]
    crashes: tuple[Crash, ...]


def load_trace(name: str) -> Trace:
    """Return a trace from its file."""
    fields = msgpack.unpackb(gzip.decompress(_path(name).read_bytes()))
    lists = [tuple(e) if isinstance(e, list) else e for e in fields["deployment"]]
    return Trace(
        Deployment(*lists),
        tuple(_read_request(each) for each in fields["requests"]),
        tuple(Crash(*each) for each in fields["crashes"]),
    )


def speed_up(trace: Trace, speed: float) -> Trace:
    """Return the trace with all its times divided by a factor."""
    return replace(
        trace,
        requests=tuple(
            replace(each, arrives_at=each.arrives_at / speed) for each in trace.requests
        ),
        crashes=tuple(
            Crash(each.host, each.fails_at / speed, each.returns_at / speed)
            for each in trace.crashes
        ),
    )


def save_trace(trace: Trace) -> None:
    """Write a trace to its file."""
    fields = {
        "deployment": astuple(trace.deployment),
        "requests": [astuple(each) for each in trace.requests],
        "crashes": [astuple(each) for each in trace.crashes],
    }
    data = gzip.compress(msgpack.packb(fields), mtime=0)
    _path(trace.deployment.name).write_bytes(data)


def _path(name: str) -> Path:
    return TRACE_FOLDER / f"{name}.msgpack.gz"


def _read_request(fields: list[Any]) -> TraceRequest:
    arrives_at, organisation, data_centre, priority, parts, answer_tokens = fields
    return TraceRequest(
        arrives_at,
        organisation,
        data_centre,
        Priority(priority),
        tuple(Part(*each) for each in parts),
        answer_tokens,
    )
