"""Data types of ceilings and of the leases on them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

# How long a lease is valid.
LEASE_S = 1.0
# A full token bucket holds what the rate allows in this time.
BURST_S = 1.0


@dataclass(frozen=True, slots=True)
class Amount:
    """Hold a number of requests and a number of tokens."""

    requests: float = 0.0
    tokens: float = 0.0

    def plus(self, other: Amount) -> Amount:
        """Return the sum of both amounts."""
        return Amount(self.requests + other.requests, self.tokens + other.tokens)

    def minus(self, other: Amount) -> Amount:
        """Return this amount less another one."""
        return Amount(self.requests - other.requests, self.tokens - other.tokens)

    def covers(self, other: Amount) -> bool:
        """Return whether this amount is at least another one in both numbers."""
        return self.requests >= other.requests and self.tokens >= other.tokens

    def at_most(self, other: Amount) -> Amount:
        """Return the smaller number of requests and the smaller number of tokens."""
        return Amount(
            min(self.requests, other.requests), min(self.tokens, other.tokens)
        )


@dataclass(frozen=True, slots=True)
class Ceiling:
    """Limit what an organisation may use per second; None means no limit."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None

    def share(self, parts: int) -> Ceiling:
        """Return one part of the ceiling, divided into a number of equal parts."""
        return Ceiling(
            None if self.requests_per_s is None else self.requests_per_s / parts,
            None if self.tokens_per_s is None else self.tokens_per_s / parts,
        )


class AllotmentUnit(enum.StrEnum):
    """Name what an allotment counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Allotment:
    """Limit what an organisation may use over all gateways.

    The rate is per second; it and the burst are in the unit. Where tokens count, a
    request that states none counts as `uncounted_tokens`.
    """

    rate_per_s: float
    burst: float
    unit: AllotmentUnit = AllotmentUnit.REQUESTS
    uncounted_tokens: int = 0


@dataclass(frozen=True, slots=True)
class AllotmentBounds:
    """Bound what an organisation may use beyond its allotment, over all gateways.

    In any window it may use (rate * window + burst) * (1 + overage) + slack, in the
    unit of the allotment.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack: float = 0.0


@dataclass(frozen=True, slots=True)
class LeaseRequestBody:
    """Request a lease from the home of an organisation's ceiling.

    need is used at once, wish is wanted in addition for later requests and estimated
    from the router's recent use, and returned is the unused part of the last lease.
    """

    router: str
    organisation: str
    revision: int
    ceiling: Ceiling
    need: Amount
    wish: Amount
    returned: Amount = Amount()


@dataclass(frozen=True, slots=True)
class Grant:
    """Hold a lease and its expiry, or when to retry; times are in epoch seconds.

    The amount is leased if retry_at is None. sharers counts the routers that requested
    leases for the organisation recently.
    """

    amount: Amount
    expires_at: float
    retry_at: float | None
    sharers: int


@dataclass(frozen=True, slots=True)
class Admit:
    """Admit the request."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request; retry_at is in epoch seconds."""

    retry_at: float


Verdict = Admit | Refuse
