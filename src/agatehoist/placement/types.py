"""Data types of placement decisions."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.admission.room import Room
from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority


@dataclass(frozen=True, slots=True)
class Candidate:
    """Name an endpoint that may get a request, and its data centre.

    host is the endpoint's host in a router, its name in a gateway.
    """

    host: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Describe a request to place; data_centre is that of the deciding process.

    A part that many requests share has `holder_count` endpoints that keep it. Requests
    that any endpoint may serve are spread by `spread_key`.
    """

    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    priority: Priority
    data_centre: str
    holder_count: int = 1
    spread_key: bytes = b""


@dataclass(frozen=True, slots=True)
class ExpectedFinish:
    """Split the expected time to the end of an answer; `harm_s` is that of others.

    The request waits `wait_s` for earlier work and reads its prompt in `read_s`, of
    which `repeat_s` is for shared parts that could be in memory. Its answer takes
    `answer_s` more. The harm is what the streams of the endpoint lose, as a time.
    """

    wait_s: float
    read_s: float
    answer_s: float
    repeat_s: float = 0.0
    harm_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Offer:
    """Hold a candidate's cached prompt tokens and expected seconds to first token.

    The finish and the room are stated where rates are measured. Homes are given to
    endpoints in proportion to their weight. `data_centre_s` is the cost of sending the
    request to another data centre, 0 in the own one.
    """

    candidate: Candidate
    identity: EndpointIdentity
    matched_tokens: int
    ttft_estimate: float
    finish: ExpectedFinish | None = None
    room: Room | None = None
    weight: float = 1.0
    data_centre_s: float = 0.0
