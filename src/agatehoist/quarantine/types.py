"""Types of the evidence for and against traits; times are in epoch seconds.

A trait is what a request has in common with others, or with itself when it comes again:
a part of its prompt, or its fingerprint. Traits, endpoints and requests are identified
by digests.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """Tell that an endpoint crashed before it completed its answer to a request.

    `parts` are the parts of its prompt that other prompts may have too, in order. They
    are left out if the endpoint has survived the start of its answer.
    `sent_at` is the time at which the request was sent.
    """

    parts: tuple[bytes, ...]
    fingerprint: bytes
    endpoint: bytes
    request: bytes
    sent_at: float
    at: float

    @property
    def traits(self) -> tuple[bytes, ...]:
        """Return the traits that may have caused the crash, the widest first."""
        return (*self.parts, self.fingerprint)


@dataclass(frozen=True, slots=True)
class Answer:
    """Tell when an endpoint last answered a request with a trait."""

    trait: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Hold the time until which requests with all of these traits are refused.

    There is more than one if the evidence doesn't tell them apart. An answer after
    `since`, the time of the first crash that counted, clears its trait. `count` is the
    number of quarantines of these traits in a row.
    """

    traits: frozenset[bytes]
    since: float
    until: float
    count: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what one node tells others about traits."""

    crashes: tuple[Crash, ...] = ()
    answers: tuple[Answer, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.crashes or self.answers or self.quarantines)
