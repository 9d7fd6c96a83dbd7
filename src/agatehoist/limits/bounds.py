"""Bound on what passes a ceiling while parts of the fleet can't see each other."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.limits.types import BURST_S, LEASE_S


@dataclass(frozen=True, slots=True)
class Split:
    """Describe what went wrong in a period.

    homes counts those that leased at once, home_losses the times that one forgot,
    cut_off the routers that used a local share, and sharers the parts of it.
    """

    homes: int = 1
    home_losses: int = 0
    cut_off: int = 0
    sharers: int = 1


def admitted_bound(
    rate_per_s: float, period_s: float, max_need: float, split: Split
) -> float:
    """Return the most that can pass in a period, in requests or tokens."""
    burst = rate_per_s * BURST_S + max_need
    leased = split.homes * rate_per_s * (period_s + LEASE_S)
    leased += (split.homes + split.home_losses) * burst
    local = rate_per_s / split.sharers * (period_s + BURST_S) + max_need
    return leased + split.cut_off * local
