"""Permits for requests to endpoints that name a limit on requests a second.

All nodes share the limit of an endpoint. Its home, a node chosen by rendezvous hash,
gives out the permits, one for each request, so that few nodes and many keep and use it
alike.
"""

from __future__ import annotations

import functools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.limits.bucket import Bucket
from agatehoist.limits.types import Amount, Ceiling
from agatehoist.placement.ranking import rank
from agatehoist.placement.types import Candidate

if TYPE_CHECKING:
    from agatehoist.core.address import Address

ONE_REQUEST = Amount(requests=1.0)
# Unused permits for this time may be used later, as requests arrive unevenly. Endpoints
# bear half as much again as their limits over a few seconds.
PERMIT_BURST_S = 2.0
# An endpoint that takes nothing gets a request now and then, whose answer tells when
# its limit has ended.
MIN_RATE_PER_S = 0.1
# Another node than the home gives out permits while the home can't be reached. As the
# home may still give out permits to others, the other node has a part of the limit.
SUBSTITUTE_SHARE = 0.5
# Homes that are asked in turn, and how long one that didn't answer is passed over.
MAX_HOMES = 3
AVOID_HOME_S = 3.0
# Each priority step leaves this share of a full bucket to more urgent requests.
RESERVED_SHARE = 0.25
LEAST_URGENT = 2
# Priority of requests that can go elsewhere; they get only what others leave.
LEFTOVER = 3
# The least share of the limit for which requests compete without regard to priority,
# so that no priority starves.
EQUAL_SHARE = 0.2
# A short prompt needs no permit while it waits elsewhere for less than this share of
# its objective.
SHORT_WAIT_SHARE = 0.1
ACCOUNT_RETENTION_S = 30.0
SWEEP_INTERVAL_S = 10.0
MAX_CACHED_HOMES = 2048
MAX_REFUSALS = 4096


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Ask for a permit for one request; a priority of 0 is the most urgent."""

    endpoint: bytes
    limit_per_s: float
    priority: int


@dataclass(frozen=True, slots=True)
class Permit:
    """Grant a request, or say from which epoch time on it is useful to ask again."""

    granted: bool
    retry_at: float


def permit_priority(
    urgency: int, is_short: bool, objective_s: float, least_wait_elsewhere_s: float
) -> int | None:
    """Return the priority with which to ask for a permit, or None to go elsewhere.

    A limit counts requests, whatever their work. Permits for long prompts take more
    work off the endpoints without a limit, so short prompts ask last while these can
    take them. The wait is infinite if all endpoints have limits.
    """
    if not is_short or math.isinf(least_wait_elsewhere_s):
        return urgency
    if least_wait_elsewhere_s <= SHORT_WAIT_SHARE * objective_s:
        return None
    return LEFTOVER


class _Account:
    def __init__(self, rate: float, now: float) -> None:
        self.bucket = Bucket(Ceiling(requests_per_s=rate), now, PERMIT_BURST_S)
        # Another node, or this one before a restart, may have given out a burst.
        self.bucket.take(self.bucket.available(now))
        self.equal_from = 0.0
        self.retained_until = 0.0


class PermitIssuer:
    """Give out permits for the endpoints whose home this node is."""

    def __init__(self) -> None:
        self._accounts_by_endpoint: dict[bytes, _Account] = {}
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts_by_endpoint)

    def ask(self, request: PermitRequest, is_home: bool, now: float) -> Permit:
        """Return a permit; without `is_home` this node stands in for the home."""
        self._sweep(now)
        share = 1.0 if is_home else SUBSTITUTE_SHARE
        rate = share * max(MIN_RATE_PER_S, request.limit_per_s)
        account = self._accounts_by_endpoint.get(request.endpoint)
        if account is None:
            account = self._accounts_by_endpoint[request.endpoint] = _Account(rate, now)
        account.retained_until = now + ACCOUNT_RETENTION_S
        account.bucket.set_ceiling(Ceiling(requests_per_s=rate), now)
        level = account.bucket.available(now).requests
        reserved = 0.0
        if now < account.equal_from or request.priority >= LEFTOVER:
            steps = min(request.priority, LEFTOVER)
            reserved = RESERVED_SHARE * steps * rate * PERMIT_BURST_S
        if level <= reserved:
            return Permit(False, now + (reserved - level) / rate)
        account.bucket.take(ONE_REQUEST)
        if 0 < request.priority < LEFTOVER:
            account.equal_from = now + 1 / (EQUAL_SHARE * rate)
        return Permit(True, now)

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for endpoint, account in tuple(self._accounts_by_endpoint.items()):
            if account.retained_until <= now:
                del self._accounts_by_endpoint[endpoint]


class PermitHomes:
    """Choose the node to ask for a permit, and remember refusals until they expire."""

    def __init__(self) -> None:
        self._avoided_until_by_home: dict[Address, float] = {}
        self._refused_until: dict[tuple[bytes, int], float] = {}

    def to_ask(
        self, endpoint: bytes, nodes: frozenset[Address], now: float
    ) -> tuple[Address, ...]:
        """Return the nodes to ask in turn, the home of an endpoint first."""
        homes = ranked_homes(endpoint, nodes)
        reachable = (
            each for each in homes if self._avoided_until_by_home.get(each, 0.0) <= now
        )
        return tuple(reachable)[:MAX_HOMES]

    def note_unreachable(self, home: Address, now: float) -> None:
        """Record that a node gave no answer."""
        self._avoided_until_by_home[home] = now + AVOID_HOME_S

    def note_refusal(self, request: PermitRequest, permit: Permit) -> None:
        """Record that a permit was refused."""
        key = (request.endpoint, request.priority)
        self._refused_until.pop(key, None)
        self._refused_until[key] = permit.retry_at
        while len(self._refused_until) > MAX_REFUSALS:
            del self._refused_until[next(iter(self._refused_until))]

    def refused_until(self, endpoint: bytes, priority: int, now: float) -> float | None:
        """Return until when requests of a priority get no permit, or None."""
        until = self._refused_until.get((endpoint, priority))
        return until if until is not None and until > now else None


@functools.lru_cache(MAX_CACHED_HOMES)
def ranked_homes(endpoint: bytes, nodes: frozenset[Address]) -> tuple[Address, ...]:
    """Return the nodes that may give out permits for an endpoint, its home first."""
    by_name = {str(each): each for each in nodes}
    candidates = [Candidate(name, "") for name in by_name]
    # A node that is cut off from all others gets to itself after all of them.
    ranked = rank(endpoint, candidates, len(candidates))
    return tuple(by_name[each.host] for each in ranked)
