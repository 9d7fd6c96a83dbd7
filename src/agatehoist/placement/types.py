"""Data types of placement decisions."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.identity import EndpointIdentity
from agatehoist.core.work import PrefixLevel, Priority


@dataclass(frozen=True, slots=True)
class Candidate:
    """Name the host and data centre of an endpoint that may get a request."""

    host: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Describe the request to place."""

    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    priority: Priority
    data_centre: str


@dataclass(frozen=True, slots=True)
class Offer:
    """Hold a candidate's reply to a probe; times are in seconds."""

    candidate: Candidate
    identity: EndpointIdentity
    matched_tokens: int
    ttft_estimate: float
