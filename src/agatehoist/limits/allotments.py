"""Allotments: limits of organisations that all gateways share.

Handles one organisation's load on any number of gateways. Its home, a gateway chosen
by rendezvous hash, keeps a token bucket and leases amounts of it to the gateways. Each
gateway owns an equal share of the rate and delegates it to the home that it reaches; a
home gives out only what is delegated to it, so that homes which don't know of each
other stay within the allotment together.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.limits.bucket import Bucket
from agatehoist.limits.types import (
    LEASE_S,
    Allotment,
    AllotmentBounds,
    AllotmentUnit,
    Amount,
    Ceiling,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from agatehoist.core.address import Address
    from agatehoist.routing.types import Prompt

# A share counts as delegated for this time after its owner has said so. An owner that
# loses the home uses its share elsewhere at once; the bounds allow for more than both
# uses together, as the overage is a tenth of a window of 8 s.
DELEGATION_S = 0.7
# Part of what the bounds allow beyond the allotment that a home gives out as credit
# before its bucket covers it, as a bucket is empty when a gateway starts. At most this
# part of the burst, since the slack may be far more than a small allotment.
CREDIT_OF_BOUNDS = 0.125
CREDIT_OF_BURST = 0.5
# Parts of the bounds and of the burst that gateways may hold as unused leases.
LEASED_OF_BOUNDS = 0.25
LEASED_OF_BURST = 0.5
# Part of the overage by which a home may exceed the shares delegated to it.
ABSENT_OF_OVERAGE = 0.3
# Largest part of the level left after the need that a lease takes in addition.
EXTRA_LEASE_FRACTION = 0.25
# A bucket without a burst would never rise above zero.
MIN_BURST_S = 0.1
ACCOUNT_RETENTION_S = 30.0
SUM_INTERVAL_S = 0.02
# A home that was suspended for longer doesn't refill its buckets for that time, as the
# owners of the shares have used them elsewhere.
MAX_REFILLED_PAUSE_S = 1.5 * DELEGATION_S
# A refused gateway asks no earlier than after this time.
MIN_RETRY_S = 0.001


@dataclass(frozen=True, slots=True)
class Terms:
    """Hold an allotment as of a version of the configuration; a rate of 0 is no limit.

    The higher version wins wherever two meet.
    """

    version: int
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class AllotmentAsk:
    """Ask the home of an organisation for a lease.

    `need` is used at once by requests that wait, of which the oldest uses `first`;
    `wish` is wanted for later ones. `held` is what the gateway still holds and keeps,
    and `returned` what it gives back. Without `delegates` the gateway takes back its
    share, as it asks another home.
    """

    organisation: bytes
    terms: Terms
    first: float = 0.0
    need: float = 0.0
    wish: float = 0.0
    held: float = 0.0
    returned: float = 0.0
    delegates: bool = True


@dataclass(frozen=True, slots=True)
class AllotmentGrant:
    """Lease an amount, or refuse it and say in how many seconds to ask again.

    A `retry_s` of 0 refuses nothing.
    """

    organisation: bytes
    terms: Terms
    amount: float
    retry_s: float = 0.0


def terms_of(allotment: Allotment | None, version: int) -> Terms:
    """Return the terms of an allotment in a version of the configuration."""
    if allotment is None:
        return Terms(version, 0.0, 0.0)
    rate = allotment.rate_per_s
    return Terms(version, rate, max(allotment.burst, MIN_BURST_S * rate))


def request_cost(
    allotment: Allotment, prompt: Prompt | None, bounds: AllotmentBounds
) -> float:
    """Return what a request counts, in the unit of the allotment.

    A request that states more than may run in a window counts as just that, so that it
    doesn't use up the allotment of days.
    """
    if allotment.unit is AllotmentUnit.REQUESTS:
        return 1.0
    tokens = allotment.uncounted_tokens
    if prompt is not None:
        tokens = prompt.prompt_tokens + prompt.max_output_tokens
    most = allotment.rate_per_s * bounds.window_s + allotment.burst
    return min(float(tokens), most)


def excess_allowed(terms: Terms, bounds: AllotmentBounds) -> float:
    """Return what may be used in a window beyond the rate and the burst."""
    allotted = terms.rate_per_s * bounds.window_s + terms.burst
    return bounds.overage * allotted + bounds.slack


class _Account:
    """Hold the bucket of one organisation and the leases on it.

    The levels are in the unit of the allotment; the bucket counts them as requests.
    """

    def __init__(self, terms: Terms, now: float) -> None:
        self.terms = terms
        self.bucket = Bucket(Ceiling(requests_per_s=1.0), now, 0.0)
        self.is_home = False
        self.delegated_until_by_sender: dict[Address, float] = {}
        # The amount that each gateway holds, and when it expires.
        self.leases_by_sender: dict[Address, tuple[float, float]] = {}
        self.retained_until = 0.0
        # As of `summed_at`; the sums over all gateways aren't computed for each ask.
        self.share = 0.0
        self.leased = 0.0
        self.summed_at = -math.inf

    def keep_lease(self, sender: Address, held: float, now: float) -> None:
        before, _until = self.leases_by_sender.get(sender, (0.0, 0.0))
        self.leases_by_sender[sender] = (held, now + LEASE_S)
        self.leased += held - before

    def drop_expired(self, now: float) -> None:
        for sender, (_held, until) in tuple(self.leases_by_sender.items()):
            if until <= now:
                del self.leases_by_sender[sender]
        for sender, until in tuple(self.delegated_until_by_sender.items()):
            if until <= now:
                del self.delegated_until_by_sender[sender]


class AllotmentHome:
    """Lease the allotments of organisations to gateways.

    This gateway is the home of some organisations and may stand in for the homes of
    others, with the shares of those that ask it.
    """

    def __init__(self, own: Address, bounds: AllotmentBounds) -> None:
        self.bounds = bounds
        self._own = own
        self._accounts_by_organisation: dict[bytes, _Account] = {}
        # Gateways that delegate the shares of all organisations whose home this is.
        self._delegated_until_by_sender: dict[Address, float] = {}
        self._node_count = 1
        self._noted_at = -math.inf

    def __len__(self) -> int:
        return len(self._accounts_by_organisation)

    def note_delegation(self, sender: Address, until: float) -> None:
        """Count the shares of a gateway as delegated to this home."""
        self._delegated_until_by_sender[sender] = until

    def withdraw_delegation(self, sender: Address) -> None:
        """Count the shares of a gateway as its own, as it doesn't hear this home."""
        self._delegated_until_by_sender.pop(sender, None)
        for account in self._accounts_by_organisation.values():
            account.delegated_until_by_sender.pop(sender, None)
            account.summed_at = -math.inf

    def tick(
        self, terms_by_organisation: Mapping[bytes, Terms], node_count: int, now: float
    ) -> None:
        """Refill the buckets of the organisations whose home this is.

        Called regularly, so that a longer pause shows that the process was suspended.
        """
        self._note_time(now)
        self._node_count = max(1, node_count)
        for organisation, terms in terms_by_organisation.items():
            if organisation not in self._accounts_by_organisation:
                self._accounts_by_organisation[organisation] = _Account(terms, now)
        for organisation, account in tuple(self._accounts_by_organisation.items()):
            own_terms = terms_by_organisation.get(organisation)
            account.is_home = own_terms is not None
            account.summed_at = -math.inf
            if own_terms is not None:
                self._adopt(account, own_terms, is_own=True)
                account.retained_until = now + ACCOUNT_RETENTION_S
            elif account.retained_until <= now:
                del self._accounts_by_organisation[organisation]
                continue
            self._refill(account, now)
        for sender, until in tuple(self._delegated_until_by_sender.items()):
            if until <= now:
                del self._delegated_until_by_sender[sender]

    def ask(
        self, sender: Address, ask: AllotmentAsk, delegated_until: float, now: float
    ) -> AllotmentGrant:
        """Return a lease for a gateway, which delegates its share until a time."""
        self._note_time(now)
        account = self._accounts_by_organisation.get(ask.organisation)
        if account is None:
            account = _Account(ask.terms, now)
            self._accounts_by_organisation[ask.organisation] = account
        account.retained_until = max(account.retained_until, now + ACCOUNT_RETENTION_S)
        if ask.delegates != (sender in account.delegated_until_by_sender):
            account.summed_at = -math.inf
        account.delegated_until_by_sender.pop(sender, None)
        if ask.delegates:
            account.delegated_until_by_sender[sender] = delegated_until
        self._adopt(account, ask.terms, is_own=False)
        if account.terms.rate_per_s <= 0:
            amount = ask.need + ask.wish
            return AllotmentGrant(ask.organisation, account.terms, amount)
        account.bucket.refund(Amount(ask.returned), now)
        account.keep_lease(sender, ask.held, now)
        self._refill(account, now)
        return self._lease(account, sender, ask, now)

    def _note_time(self, now: float) -> None:
        """Add nothing to the buckets for a time in which this process didn't run."""
        if now - self._noted_at > MAX_REFILLED_PAUSE_S:
            for account in self._accounts_by_organisation.values():
                account.bucket.skip_to(now)
        self._noted_at = now

    def _lease(
        self, account: _Account, sender: Address, ask: AllotmentAsk, now: float
    ) -> AllotmentGrant:
        excess = excess_allowed(account.terms, self.bounds)
        level = account.bucket.available(now).requests
        level += account.share * _credit(account.terms, excess)
        if ask.need > 0 and level <= 0:
            rate = account.share * account.terms.rate_per_s
            retry_s = -level / rate if rate > 0 else DELEGATION_S
            return AllotmentGrant(
                ask.organisation, account.terms, 0.0, max(retry_s, MIN_RETRY_S)
            )
        # The oldest request may take the level below zero, whatever its size, so that
        # large requests don't starve beside small ones.
        needed = max(ask.first, min(ask.need, level))
        lease_room = (
            LEASED_OF_BURST * account.terms.burst + LEASED_OF_BOUNDS * excess
        ) * account.share
        extra = min(
            ask.wish,
            EXTRA_LEASE_FRACTION * max(0.0, level - needed),
            max(0.0, lease_room - account.leased),
        )
        account.bucket.take(Amount(needed + extra))
        account.keep_lease(sender, ask.held + extra, now)
        return AllotmentGrant(ask.organisation, account.terms, needed + extra)

    def _adopt(self, account: _Account, terms: Terms, is_own: bool) -> None:
        """Apply terms that are newer, or those of this gateway's own table."""
        if terms.version > account.terms.version or (
            is_own and terms.version == account.terms.version
        ):
            account.terms = terms

    def _refill(self, account: _Account, now: float) -> None:
        """Refill a bucket at the rate of the shares that are delegated."""
        terms = account.terms
        if terms.rate_per_s <= 0:
            return
        if now >= account.summed_at + SUM_INTERVAL_S:
            account.summed_at = now
            account.drop_expired(now)
            account.share = self._share(account, now)
            account.leased = sum(held for held, _ in account.leases_by_sender.values())
        rate = account.share * terms.rate_per_s
        account.bucket.set_ceiling(
            Ceiling(requests_per_s=rate), now, terms.burst / terms.rate_per_s
        )
        # What gateways hold and the level together stay within the burst and a part
        # of the bounds, as both may be used in one window.
        most = terms.burst + LEASED_OF_BOUNDS * excess_allowed(terms, self.bounds)
        level = account.bucket.available(now).requests
        surplus = level + account.leased - most * account.share
        if surplus > 0 and level > 0:
            account.bucket.take(Amount(min(surplus, level)))

    def _share(self, account: _Account, now: float) -> float:
        """Return the part of the rate whose owners delegate it to this gateway."""
        explicit = account.delegated_until_by_sender
        senders = {sender for sender, until in explicit.items() if now < until}
        if account.is_home:
            senders.add(self._own)
            by_home = self._delegated_until_by_sender
            senders.update(sender for sender, until in by_home.items() if now < until)
        # A part of the overage makes up for a few gateways that are away.
        share = len(senders) / self._node_count
        return min(1.0, share * (1 + ABSENT_OF_OVERAGE * self.bounds.overage))


def _credit(terms: Terms, excess: float) -> float:
    return min(CREDIT_OF_BOUNDS * excess, CREDIT_OF_BURST * terms.burst)
