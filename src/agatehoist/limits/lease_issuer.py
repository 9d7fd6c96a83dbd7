"""Leases that the home of an organisation issues on its ceiling.

The home is the process that keeps the token bucket of an organisation.
"""

from __future__ import annotations

from agatehoist.limits.bucket import Bucket
from agatehoist.limits.types import LEASE_S, Amount, Grant, LeaseRequestBody

ROUTER_RETENTION_S = 30.0
# Largest part of the level left after the need that a lease takes in addition.
EXTRA_LEASE_FRACTION = 0.25
SWEEP_INTERVAL_S = 10.0


class _Account:
    """Hold the token bucket of one organisation and the routers that leased from it."""

    def __init__(self, request: LeaseRequestBody, now: float) -> None:
        self.revision = request.revision
        self.bucket = Bucket(request.ceiling, now)
        self.active_until_by_router: dict[str, float] = {}

    def record(self, request: LeaseRequestBody, now: float) -> None:
        if request.revision > self.revision:
            self.revision = request.revision
            self.bucket.set_ceiling(request.ceiling, now)
        self.active_until_by_router[request.router] = now + ROUTER_RETENTION_S

    def drop_inactive_routers(self, now: float) -> None:
        for router, until in tuple(self.active_until_by_router.items()):
            if until <= now:
                del self.active_until_by_router[router]


class LeaseIssuer:
    """Issue leases to routers for the organisations whose home this process is.

    Organisations for which no router has requested a lease recently take no memory.
    """

    def __init__(self) -> None:
        self._accounts_by_organisation: dict[str, _Account] = {}
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts_by_organisation)

    def lease(self, request: LeaseRequestBody, now: float) -> Grant:
        """Return what a router may use; now is in epoch seconds."""
        self._sweep(now)
        account = self._accounts_by_organisation.get(request.organisation)
        if account is None:
            account = _Account(request, now)
            self._accounts_by_organisation[request.organisation] = account
        account.record(request, now)
        # The routers that have requested a lease within ROUTER_RETENTION_S.
        sharers = len(account.active_until_by_router)
        account.bucket.refund(request.returned, now)
        if not account.bucket.try_take(request.need, now):
            return Grant(Amount(), now, account.bucket.retry_at(now), sharers)
        extra = _extra_amount(account.bucket.available(now), request.wish)
        account.bucket.take(extra)
        return Grant(request.need.plus(extra), now + LEASE_S, None, sharers)

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, account in tuple(self._accounts_by_organisation.items()):
            account.drop_inactive_routers(now)
            # No router has leased for ROUTER_RETENTION_S, so the bucket is full again.
            if not account.active_until_by_router:
                del self._accounts_by_organisation[name]


def _extra_amount(available: Amount, wish: Amount) -> Amount:
    allowed = Amount(
        max(0.0, available.requests) * EXTRA_LEASE_FRACTION,
        max(0.0, available.tokens) * EXTRA_LEASE_FRACTION,
    )
    return wish.at_most(allowed)
