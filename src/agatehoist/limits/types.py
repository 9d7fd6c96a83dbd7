"""Types of ceilings and of the leases on them."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 1.0
BURST_S = 1.0


@dataclass(frozen=True, slots=True)
class Amount:
    """Count requests and tokens."""

    requests: float = 0.0
    tokens: float = 0.0

    def plus(self, other: Amount) -> Amount:
        """Return the sum."""
        return Amount(self.requests + other.requests, self.tokens + other.tokens)

    def minus(self, other: Amount) -> Amount:
        """Return the difference."""
        return Amount(self.requests - other.requests, self.tokens - other.tokens)

    def covers(self, other: Amount) -> bool:
        """Say whether another amount fits in."""
        return self.requests >= other.requests and self.tokens >= other.tokens

    def at_most(self, other: Amount) -> Amount:
        """Return the smaller of both, part by part."""
        return Amount(
            min(self.requests, other.requests), min(self.tokens, other.tokens)
        )


@dataclass(frozen=True, slots=True)
class Ceiling:
    """Bound what an organisation may use in a second; None is no bound."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None

    def share(self, parts: int) -> Ceiling:
        """Return one of so many equal parts."""
        return Ceiling(
            None if self.requests_per_s is None else self.requests_per_s / parts,
            None if self.tokens_per_s is None else self.tokens_per_s / parts,
        )


@dataclass(frozen=True, slots=True)
class LeaseAsk:
    """Ask a ceiling's home for what is needed now and what may follow soon.

    What is left of the last lease is returned with it.
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
    """Hold what a home gave until an epoch time, or when to ask again."""

    amount: Amount
    expires_at: float
    retry_at: float | None
    sharers: int


@dataclass(frozen=True, slots=True)
class Admit:
    """Let the request pass."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request until an epoch time."""

    retry_at: float


Verdict = Admit | Refuse
