"""Rate limits on calls to the platform, by purpose."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Purpose(enum.StrEnum):
    """Name what a call to the platform is for."""

    CONFIGURATION = "configuration"
    HOSTS = "hosts"
    # Records of which attempt may run a call.
    CLAIMS = "claims"
    # Fencing records and leases of orders to load weights.
    ORDERS = "orders"
    # Reads and writes of the configuration by operators' commands.
    OPERATOR = "operator"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Allowance:
    """Hold a sustained rate of calls and the largest burst."""

    calls_per_s: float
    burst: int


ALLOWANCES_BY_PURPOSE = {
    Purpose.CONFIGURATION: Allowance(1.0, 10),
    Purpose.HOSTS: Allowance(1.0, 5),
    Purpose.CLAIMS: Allowance(50.0, 100),
    Purpose.ORDERS: Allowance(5.0, 20),
    Purpose.OPERATOR: Allowance(200.0, 200),
    Purpose.OTHER: Allowance(20.0, 50),
}


class CallBudget:
    """Limit the rate of calls by purpose, with the generic cell rate algorithm."""

    def __init__(
        self, allowances_by_purpose: dict[Purpose, Allowance] | None = None
    ) -> None:
        self._allowances_by_purpose = allowances_by_purpose or ALLOWANCES_BY_PURPOSE
        self._theoretical_arrivals_by_purpose: dict[Purpose, float] = {}

    def reserve(self, purpose: Purpose, now: float) -> float:
        """Count a call and return the earliest time to send it, in seconds."""
        allowance = self._allowances_by_purpose[purpose]
        interval_s = 1 / allowance.calls_per_s
        theoretical_arrival = max(
            now, self._theoretical_arrivals_by_purpose.get(purpose, now)
        )
        self._theoretical_arrivals_by_purpose[purpose] = (
            theoretical_arrival + interval_s
        )
        return max(now, theoretical_arrival - (allowance.burst - 1) * interval_s)

    def cancel_reservation(self, purpose: Purpose) -> None:
        """Remove the most recent call from the count, as it was not sent."""
        interval_s = 1 / self._allowances_by_purpose[purpose].calls_per_s
        self._theoretical_arrivals_by_purpose[purpose] -= interval_s
