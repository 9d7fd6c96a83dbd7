"""Leases on allotments that a gateway holds, and its local share without a home.

Handles the load of each organisation at one gateway: requests are charged to a lease
without a message, and leases are renewed ahead by recent use.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from agatehoist.limits.allotments import AllotmentAsk, AllotmentGrant, Terms
from agatehoist.limits.bucket import Bucket
from agatehoist.limits.types import LEASE_S, Admit, Amount, Ceiling, Refuse, Verdict

# Use is averaged over this time.
USE_AVERAGE_S = 1.0
# A lease holds what is used in this time, twice the interval between renewals.
AHEAD_S = 0.6
# Less than this times the wanted lease is kept; more goes back to the home.
SURPLUS = 1.5
# A gateway asks no earlier than after this time for each gateway of the fleet, so that
# those that are refused together cost the home 250 asks a second at most.
REFUSAL_S_PER_NODE = 0.004
MAX_REFUSAL_S = 1.0
# Later, a returned amount would add to what others have been granted since.
REFUND_WITHIN_S = 1.0
# The share of the time left within which callers come back after a refusal.
RETURN_SHARE = 1 / 3
RETENTION_S = 30.0
# Amounts that are summed up may differ by this from what was asked for.
ROUNDING = 1e-6
# Stands for the rate of an organisation whose allotment has just been removed.
MIN_RATE_PER_S = 1e-3


@dataclass(frozen=True, slots=True)
class AskNeeded:
    """Tell the caller to ask a home before it decides on the request."""


class _Lease:
    def __init__(self, terms: Terms, now: float) -> None:
        self.terms = terms
        self.amount = 0.0
        self.expires_at = 0.0
        # Of requests that haven't run; goes back to the home, whose bucket bounds it.
        self.refunded = 0.0
        self.used_per_s = 0.0
        self.used_at = now
        self.cost_mean = 0.0
        # A refusal holds for a short time, as the allotment may be raised; the time at
        # which it covers more is for callers.
        self.refused_until = 0.0
        self.covered_at = 0.0
        # The last refused caller that will return does so at this time.
        self.return_at = 0.0
        self.delegated_at = -math.inf
        self.local_bucket: Bucket | None = None
        self.retained_until = 0.0

    def held(self, now: float) -> float:
        return self.amount if now < self.expires_at else 0.0

    def use_per_s(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.used_at)
        return self.used_per_s * math.exp(-elapsed_s / USE_AVERAGE_S)

    def note_use(self, cost: float, now: float) -> None:
        self.used_per_s = self.use_per_s(now) + cost / USE_AVERAGE_S
        self.used_at = now
        self.cost_mean += 0.25 * (cost - self.cost_mean)

    def pop_refunded(self) -> float:
        refunded, self.refunded = self.refunded, 0.0
        return refunded

    def wanted(self, now: float) -> float:
        """Return what to hold; less than one request needs would only be returned."""
        wanted = AHEAD_S * self.use_per_s(now)
        return wanted if wanted >= self.cost_mean else 0.0


class AllotmentLeases:
    """Decide on requests from leases, and say what to ask of the homes."""

    def __init__(self) -> None:
        self._leases_by_organisation: dict[bytes, _Lease] = {}

    def __len__(self) -> int:
        return len(self._leases_by_organisation)

    def take(
        self, organisation: bytes, terms: Terms, cost: float, now: float
    ) -> Verdict | AskNeeded:
        """Charge a request to the lease if it covers the cost."""
        lease = self._lease(organisation, terms, now)
        if lease.terms.rate_per_s <= 0:
            return Admit()
        if lease.held(now) >= cost - ROUNDING:
            lease.amount -= cost
            lease.note_use(cost, now)
            return Admit()
        if now < lease.refused_until:
            return Refuse(max(lease.refused_until, lease.covered_at))
        return AskNeeded()

    def ask(
        self,
        organisation: bytes,
        terms: Terms,
        costs: tuple[float, ...],
        now: float,
    ) -> AllotmentAsk:
        """Return the ask for requests that wait, the oldest first."""
        lease = self._lease(organisation, terms, now)
        lease.delegated_at = now
        # A local share isn't used beside what a home gives out.
        lease.local_bucket = None
        held = lease.held(now)
        need = max(0.0, sum(costs) - held)
        first = max(0.0, costs[0] - held) if costs else 0.0
        wish = max(0.0, lease.wanted(now) - max(0.0, held - sum(costs)))
        return AllotmentAsk(
            organisation, lease.terms, first, need, wish, held, lease.pop_refunded()
        )

    def asks_ahead(self, now: float) -> list[AllotmentAsk]:
        """Return what to ask before requests need it: renewals, returns and wishes."""
        asks = []
        for organisation, lease in tuple(self._leases_by_organisation.items()):
            if lease.retained_until <= now:
                del self._leases_by_organisation[organisation]
                continue
            held, wanted = lease.held(now), lease.wanted(now)
            returned = held - wanted if held > SURPLUS * wanted else 0.0
            kept = held - returned
            wish = max(0.0, wanted - kept) if now >= lease.refused_until else 0.0
            if kept or returned or wish or lease.refunded:
                lease.amount = kept
                returned += lease.pop_refunded()
                asks.append(
                    AllotmentAsk(
                        organisation,
                        lease.terms,
                        wish=wish,
                        held=kept,
                        returned=returned,
                    )
                )
        return asks

    def organisations(self) -> tuple[bytes, ...]:
        """Return the organisations that have sent requests lately."""
        return tuple(self._leases_by_organisation)

    def idle_ask(self, organisation: bytes) -> AllotmentAsk:
        """Return the ask that only delegates the share of an organisation."""
        return AllotmentAsk(
            organisation, self._leases_by_organisation[organisation].terms
        )

    def note_delegated(self, organisation: bytes, now: float) -> None:
        """Record that a home may use this gateway's share of an organisation."""
        lease = self._leases_by_organisation.get(organisation)
        if lease is not None:
            lease.delegated_at = now

    def apply(
        self, grant: AllotmentGrant, sent_at: float, refusal_s: float, now: float
    ) -> None:
        """Add a granted lease, or keep a refusal for at least some seconds.

        The lease counts from the time of its ask, so that one which arrives late, as
        after a suspension, has expired.
        """
        lease = self._leases_by_organisation.get(grant.organisation)
        if lease is None or now >= sent_at + LEASE_S:
            return
        if grant.terms.version > lease.terms.version:
            lease.terms = grant.terms
        lease.amount = lease.held(now) + grant.amount
        lease.expires_at = max(lease.expires_at, sent_at + LEASE_S)
        lease.refused_until = 0.0
        if grant.retry_s > 0:
            kept_s = min(MAX_REFUSAL_S, max(grant.retry_s, refusal_s))
            lease.refused_until = now + kept_s
            lease.covered_at = now + grant.retry_s

    def take_locally(
        self,
        organisation: bytes,
        terms: Terms,
        cost: float,
        node_count: int,
        now: float,
    ) -> Verdict:
        """Decide on a request from this gateway's own share of the rate."""
        lease = self._lease(organisation, terms, now)
        rate = lease.terms.rate_per_s / max(1, node_count)
        if rate <= 0:
            return Admit()
        burst_s = lease.terms.burst / lease.terms.rate_per_s
        if lease.local_bucket is None:
            # What the share has brought since a home could use it.
            since = max(lease.delegated_at, now - burst_s)
            bucket = Bucket(Ceiling(requests_per_s=rate), since, burst_s)
            bucket.take(bucket.available(since))
            lease.local_bucket = bucket
        lease.local_bucket.set_ceiling(Ceiling(requests_per_s=rate), now, burst_s)
        level = lease.local_bucket.available(now).requests + lease.held(now)
        if level < cost:
            return Refuse(now + (cost - level) / rate)
        from_lease = min(cost, lease.held(now))
        lease.amount -= from_lease
        lease.local_bucket.take(Amount(cost - from_lease))
        lease.note_use(cost, now)
        return Admit()

    def refund(
        self, organisation: bytes, cost: float, charged_at: float, now: float
    ) -> bool:
        """Return the amount of a request that hasn't run; say whether it counted."""
        lease = self._leases_by_organisation.get(organisation)
        if lease is None or now > charged_at + REFUND_WITHIN_S:
            return False
        lease.refunded += cost
        return True

    def retry_at(
        self,
        organisation: bytes,
        cost: float,
        refused_until: float,
        deadline: float,
        node_count: int,
        spread: float,
        now: float,
    ) -> float:
        """Return when the allotment covers a refused request.

        Callers that will return get times one after the other, at the rate at which
        this gateway has used the allotment. `spread`, from 0 to 1, places each within
        its turn, as the callers of other gateways have the same turns.
        """
        lease = self._leases_by_organisation.get(organisation)
        if lease is None:
            # Forgotten while this process was suspended.
            return max(refused_until, now)
        rate = max(lease.terms.rate_per_s, MIN_RATE_PER_S)
        start = max(refused_until, lease.return_at, now)
        own_rate = min(rate, max(rate / max(1, node_count), lease.use_per_s(now)))
        turn_s = cost / own_rate
        at = start + max(cost / rate, spread * turn_s)
        if at - now <= RETURN_SHARE * (deadline - now):
            lease.return_at = start + turn_s
        return at

    def _lease(self, organisation: bytes, terms: Terms, now: float) -> _Lease:
        lease = self._leases_by_organisation.get(organisation)
        if lease is None:
            lease = _Lease(terms, now)
            self._leases_by_organisation[organisation] = lease
        elif terms.version > lease.terms.version:
            lease.terms = terms
            lease.refused_until = 0.0
        lease.retained_until = now + RETENTION_S
        return lease


def refusal_s(node_count: int) -> float:
    """Return for how long a gateway keeps a refusal without asking again."""
    return min(MAX_REFUSAL_S, REFUSAL_S_PER_NODE * node_count)
