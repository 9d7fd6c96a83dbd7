"""Leases that a router holds, and its share while a home can't be reached."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.limits.bucket import Bucket
from agatehoist.limits.types import (
    LEASE_S,
    Admit,
    Amount,
    Ceiling,
    Grant,
    Refuse,
    Verdict,
)

MIN_SHARERS = 4
HOME_RETRY_S = 2.0
RETENTION_S = 60.0
SWEEP_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the home for a lease before the request may pass."""

    need: Amount
    wish: Amount
    returned: Amount


class _Account:
    def __init__(self) -> None:
        self.lease = Amount()
        self.expires_at = 0.0
        self.spent = Amount()
        self.spent_until = 0.0
        self.wish = Amount()
        self.owed_tokens = 0.0
        self.refused_until = 0.0
        self.local_until = 0.0
        self.local: Bucket | None = None
        self.sharers = 0
        self.kept_until = 0.0

    def spend(self, cost: Amount, now: float) -> None:
        if now >= self.spent_until:
            self.spent_until = now + LEASE_S
            self.wish = self.spent
            self.spent = Amount()
        self.spent = self.spent.plus(cost)

    def add_lease(self, amount: Amount, expires_at: float, now: float) -> None:
        # Leases that came together end with the first of them.
        if self.lease != Amount() and now < self.expires_at:
            expires_at = min(expires_at, self.expires_at)
        self.lease = self.lease.plus(amount)
        self.expires_at = min(expires_at, now + LEASE_S)

    def return_lease(self, now: float) -> Amount:
        returned = self.lease if now < self.expires_at else Amount()
        self.lease = Amount()
        return returned


class RouterShares:
    """Decide whether the requests of organisations with a ceiling may pass."""

    def __init__(self) -> None:
        self._accounts_by_organisation: dict[str, _Account] = {}
        self._sharers = MIN_SHARERS
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts_by_organisation)

    def admit(
        self, organisation: str, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict | Ask:
        """Decide on a request, or say what to ask of the home."""
        account = self._account(organisation, now)
        owed = Amount(0.0, account.owed_tokens)
        if now < account.expires_at and account.lease.covers(cost.plus(owed)):
            account.lease = account.lease.minus(cost)
            account.spend(cost, now)
            return Admit()
        if now < account.local_until:
            return self._admit_locally(account, ceiling, cost, now)
        if now < account.refused_until:
            return Refuse(account.refused_until)
        return Ask(cost.plus(owed), account.wish, account.return_lease(now))

    def grant(
        self, organisation: str, cost: Amount, ask: Ask, grant: Grant, now: float
    ) -> Verdict:
        """Take a home's answer and decide on the request that asked."""
        account = self._account(organisation, now)
        account.sharers = grant.sharers
        self._sharers = max(MIN_SHARERS, grant.sharers)
        if grant.retry_at is not None:
            account.refused_until = max(grant.retry_at, now)
            return Refuse(account.refused_until)
        account.owed_tokens -= ask.need.tokens - cost.tokens
        account.add_lease(grant.amount.minus(ask.need), grant.expires_at, now)
        account.spend(cost, now)
        return Admit()

    def lose_home(
        self, organisation: str, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict:
        """Decide on a request by the local share, as the home didn't answer."""
        account = self._account(organisation, now)
        account.local_until = now + HOME_RETRY_S
        return self._admit_locally(account, ceiling, cost, now)

    def settle(self, organisation: str, tokens: int, now: float) -> None:
        """Count the tokens of an answer, which the next request pays for."""
        self._account(organisation, now).owed_tokens += tokens

    def _admit_locally(
        self, account: _Account, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict:
        share = ceiling.share(max(account.sharers, self._sharers))
        if account.local is None:
            account.local = Bucket(share, now)
        account.local.set_ceiling(share, now)
        if account.local.try_take(cost.plus(Amount(0.0, account.owed_tokens)), now):
            account.owed_tokens = 0.0
            return Admit()
        return Refuse(account.local.retry_at(now))

    def _account(self, organisation: str, now: float) -> _Account:
        self._sweep(now)
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = _Account()
            self._accounts_by_organisation[organisation] = account
        account.kept_until = now + RETENTION_S
        return account

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, account in tuple(self._accounts_by_organisation.items()):
            if account.kept_until <= now:
                del self._accounts_by_organisation[name]
