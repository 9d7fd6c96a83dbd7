"""Upper bound on what is admitted under a ceiling during network partitions."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.limits.types import BURST_S, LEASE_S


@dataclass(frozen=True, slots=True)
class PartitionFaults:
    """Describe the faults in a period.

    A home is a process that issues leases for an organisation; homes counts those that
    did so at the same time (1 without a fault), home_state_losses the times that one of
    them lost its state, and cut_off the routers that couldn't reach a home. Each of
    these routers used its local share, which is the ceiling divided by sharers.
    """

    homes: int = 1
    home_state_losses: int = 0
    cut_off: int = 0
    sharers: int = 1


def admitted_bound(
    rate_per_s: float,
    period_s: float,
    max_request_amount: float,
    faults: PartitionFaults,
) -> float:
    """Return the most that can be admitted in a period, in requests or tokens.

    `max_request_amount` is the largest amount that a single request uses.
    """
    burst = rate_per_s * BURST_S + max_request_amount
    admitted_by_lease = faults.homes * rate_per_s * (period_s + LEASE_S)
    admitted_by_lease += (faults.homes + faults.home_state_losses) * burst
    admitted_locally = (
        rate_per_s / faults.sharers * (period_s + BURST_S) + max_request_amount
    )
    return admitted_by_lease + faults.cut_off * admitted_locally
