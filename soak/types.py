"""What the soak sends and sees."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Sent:
    """Hold a request; times are seconds of the monotonic clock.

    Undisturbed is since when its gateway has run and reached the store without a fault,
    infinite if it doesn't.
    """

    request_id: str
    kind: str
    path_version: int
    gateway: str
    at: float
    undisturbed_since: float


@dataclass(frozen=True, slots=True)
class Seen:
    """Hold what came back: status 0 if there was no answer; whole if it ended well."""

    sent: Sent
    status: int
    body: bytes
    whole: bool
    at: float


@dataclass(frozen=True, slots=True)
class Change:
    """Hold a configuration's path version and when it was acknowledged."""

    path_version: int
    acked_at: float


@dataclass(frozen=True, slots=True)
class Broken:
    """Say which promise was broken, by which request or process, and how."""

    promise: str
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class Played:
    """Hold how a seed ended: what was broken, and requests by their status."""

    seed: int
    broken: tuple[Broken, ...]
    requests_by_status: dict[int, int]
    troubles: tuple[str, ...]
