"""Budget of the calls to the platform by their purpose."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Purpose(enum.StrEnum):
    """Say what a call is for."""

    CONFIGURATION = "configuration"
    HOSTS = "hosts"
    CLAIMS = "claims"
    ORDERS = "orders"
    OPERATOR = "operator"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Allowance:
    """Allow calls at a rate, and as many at once as the burst."""

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
    """Say when the next call for a purpose may be sent."""

    def __init__(
        self, allowances_by_purpose: dict[Purpose, Allowance] | None = None
    ) -> None:
        self._allowances_by_purpose = allowances_by_purpose or ALLOWANCES_BY_PURPOSE
        self._spent_until_by_purpose: dict[Purpose, float] = {}

    def take(self, purpose: Purpose, now: float) -> float:
        """Count a call and return the time in seconds from which it may be sent."""
        allowance = self._allowances_by_purpose[purpose]
        spacing = 1 / allowance.calls_per_s
        spent_until = max(now, self._spent_until_by_purpose.get(purpose, now))
        self._spent_until_by_purpose[purpose] = spent_until + spacing
        return max(now, spent_until - (allowance.burst - 1) * spacing)

    def give_back(self, purpose: Purpose) -> None:
        """Stop counting a call that was not sent."""
        spacing = 1 / self._allowances_by_purpose[purpose].calls_per_s
        self._spent_until_by_purpose[purpose] -= spacing
