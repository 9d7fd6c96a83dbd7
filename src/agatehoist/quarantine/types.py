"""Types of the evidence for and against prompt parts; times are in epoch seconds.

Parts, endpoints and requests are identified by digests.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """Tell that an endpoint crashed before it answered a request.

    `parts` are the parts of its prompt that other prompts may have too, in order.
    """

    parts: tuple[bytes, ...]
    endpoint: bytes
    request: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Tell when an endpoint last answered a request with a part."""

    part: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Hold the time until which requests with all of these parts are refused.

    There is more than one if the evidence doesn't tell them apart. An answer after
    `since`, the time of the first crash that counted, clears its part. `count` is the
    number of quarantines of these parts in a row.
    """

    parts: frozenset[bytes]
    since: float
    until: float
    count: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what one node tells others about prompt parts."""

    crashes: tuple[Crash, ...] = ()
    answers: tuple[Answer, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.crashes or self.answers or self.quarantines)
