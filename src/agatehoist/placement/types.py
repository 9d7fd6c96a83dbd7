"""Data types of placement decisions."""

from __future__ import annotations

from dataclasses import dataclass

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
    """Describe a request to place; data_centre is that of the deciding process."""

    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    priority: Priority
    data_centre: str


@dataclass(frozen=True, slots=True)
class Offer:
    """Hold a candidate's cached prompt tokens and expected seconds to first token."""

    candidate: Candidate
    identity: EndpointIdentity
    matched_tokens: int
    ttft_estimate: float
