"""Ceilings kept at their home."""

from __future__ import annotations

from agatehoist.limits.bucket import Bucket
from agatehoist.limits.types import LEASE_S, Amount, Grant, LeaseAsk

SHARER_RETENTION_S = 30.0
WISH_SHARE = 0.25
SWEEP_INTERVAL_S = 10.0


class _Account:
    def __init__(self, ask: LeaseAsk, now: float) -> None:
        self.revision = ask.revision
        self.bucket = Bucket(ask.ceiling, now)
        self.sharing_until_by_router: dict[str, float] = {}

    def note(self, ask: LeaseAsk, now: float) -> None:
        if ask.revision > self.revision:
            self.revision = ask.revision
            self.bucket.set_ceiling(ask.ceiling, now)
        self.sharing_until_by_router[ask.router] = now + SHARER_RETENTION_S

    def drop_old_sharers(self, now: float) -> None:
        for router, until in tuple(self.sharing_until_by_router.items()):
            if until <= now:
                del self.sharing_until_by_router[router]


class CeilingHome:
    """Lease the budgets of the organisations whose home this process is.

    An organisation that nobody asks for takes no memory.
    """

    def __init__(self) -> None:
        self._accounts_by_organisation: dict[str, _Account] = {}
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts_by_organisation)

    def lease(self, ask: LeaseAsk, now: float) -> Grant:
        """Return what a router may use, at an epoch time."""
        self._sweep(now)
        account = self._accounts_by_organisation.get(ask.organisation)
        if account is None:
            account = _Account(ask, now)
            self._accounts_by_organisation[ask.organisation] = account
        account.note(ask, now)
        sharers = len(account.sharing_until_by_router)
        account.bucket.give_back(ask.returned, now)
        if not account.bucket.try_take(ask.need, now):
            return Grant(Amount(), now, account.bucket.retry_at(now), sharers)
        extra = _extra(account.bucket.free(now), ask.wish)
        account.bucket.take(extra)
        return Grant(ask.need.plus(extra), now + LEASE_S, None, sharers)

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, account in tuple(self._accounts_by_organisation.items()):
            account.drop_old_sharers(now)
            # A bucket without sharers has been full for a while.
            if not account.sharing_until_by_router:
                del self._accounts_by_organisation[name]


def _extra(free: Amount, wish: Amount) -> Amount:
    allowed = Amount(
        max(0.0, free.requests) * WISH_SHARE, max(0.0, free.tokens) * WISH_SHARE
    )
    return wish.at_most(allowed)
