"""Rate-limit leases of a router, and its local share while a home is unreachable."""

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

# A router that can't reach the home uses at most 1 / MIN_SHARERS of a ceiling, even if
# fewer routers share the ceiling or their number is unknown.
MIN_SHARERS = 4
HOME_RETRY_INTERVAL_S = 2.0
ACCOUNT_RETENTION_S = 60.0
SWEEP_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class LeaseNeeded:
    """Tell the caller to get a lease from the home before the request is admitted."""

    need: Amount
    wish: Amount
    returned: Amount


class _Account:
    """Hold the lease of one organisation, its recent use and its home's last replies.

    The uncounted tokens are those of answers; they are counted with the next request.
    """

    def __init__(self) -> None:
        self.lease = Amount()
        self.expires_at = 0.0
        self.used_in_window = Amount()
        self.use_window_ends_at = 0.0
        self.used_in_last_window = Amount()
        self.uncounted_tokens = 0.0
        self.refused_until = 0.0
        self.home_unreachable_until = 0.0
        self.local_bucket: Bucket | None = None
        self.sharers = 0
        self.retained_until = 0.0

    def record_use(self, cost: Amount, now: float) -> None:
        if now >= self.use_window_ends_at:
            self.use_window_ends_at = now + LEASE_S
            self.used_in_last_window = self.used_in_window
            self.used_in_window = Amount()
        self.used_in_window = self.used_in_window.plus(cost)

    def add_lease(self, amount: Amount, expires_at: float, now: float) -> None:
        # Leases that are combined expire with the earliest of them.
        if self.lease != Amount() and now < self.expires_at:
            expires_at = min(expires_at, self.expires_at)
        self.lease = self.lease.plus(amount)
        self.expires_at = min(expires_at, now + LEASE_S)

    def return_lease(self, now: float) -> Amount:
        returned = self.lease if now < self.expires_at else Amount()
        self.lease = Amount()
        return returned


class RouterLeases:
    """Decide whether requests of organisations with a ceiling are admitted."""

    def __init__(self) -> None:
        self._accounts_by_organisation: dict[str, _Account] = {}
        # The number that a home reported last, for whichever organisation.
        self._last_sharers = MIN_SHARERS
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts_by_organisation)

    def admit(
        self, organisation: str, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict | LeaseNeeded:
        """Decide on a request from the lease, or return the lease that it needs."""
        account = self._account(organisation, now)
        uncounted = Amount(0.0, account.uncounted_tokens)
        if now < account.expires_at and account.lease.covers(cost.plus(uncounted)):
            account.lease = account.lease.minus(cost)
            account.record_use(cost, now)
            return Admit()
        if now < account.home_unreachable_until:
            return self._admit_locally(account, ceiling, cost, now)
        if now < account.refused_until:
            return Refuse(account.refused_until)
        return LeaseNeeded(
            cost.plus(uncounted), account.used_in_last_window, account.return_lease(now)
        )

    def grant(
        self,
        organisation: str,
        cost: Amount,
        needed: LeaseNeeded,
        grant: Grant,
        now: float,
    ) -> Verdict:
        """Apply a home's grant: store the lease and decide on the waiting request."""
        account = self._account(organisation, now)
        account.sharers = grant.sharers
        self._last_sharers = max(MIN_SHARERS, grant.sharers)
        if grant.retry_at is not None:
            account.refused_until = max(grant.retry_at, now)
            return Refuse(account.refused_until)
        account.uncounted_tokens -= needed.need.tokens - cost.tokens
        account.add_lease(grant.amount.minus(needed.need), grant.expires_at, now)
        account.record_use(cost, now)
        return Admit()

    def admit_without_home(
        self, organisation: str, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict:
        """Decide on a request from the local share after the home failed to answer."""
        account = self._account(organisation, now)
        account.home_unreachable_until = now + HOME_RETRY_INTERVAL_S
        return self._admit_locally(account, ceiling, cost, now)

    def count_answer_tokens(self, organisation: str, tokens: int, now: float) -> None:
        """Record the tokens of an answer; they are counted with the next request."""
        self._account(organisation, now).uncounted_tokens += tokens

    def _admit_locally(
        self, account: _Account, ceiling: Ceiling, cost: Amount, now: float
    ) -> Verdict:
        share = ceiling.share(max(account.sharers, self._last_sharers))
        if account.local_bucket is None:
            account.local_bucket = Bucket(share, now)
        account.local_bucket.set_ceiling(share, now)
        if account.local_bucket.try_take(
            cost.plus(Amount(0.0, account.uncounted_tokens)), now
        ):
            account.uncounted_tokens = 0.0
            return Admit()
        return Refuse(account.local_bucket.retry_at(now))

    def _account(self, organisation: str, now: float) -> _Account:
        self._sweep(now)
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = _Account()
            self._accounts_by_organisation[organisation] = account
        account.retained_until = now + ACCOUNT_RETENTION_S
        return account

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, account in tuple(self._accounts_by_organisation.items()):
            if account.retained_until <= now:
                del self._accounts_by_organisation[name]
