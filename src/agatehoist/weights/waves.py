"""Decisions on which node runs a roll-out and which endpoints change next."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.weights.types import SeenPlan

# Time from the start of its last write during which a holder may send orders.
LEASE_S = 0.8
# A live holder starts pending work within this time.
MAX_START_DELAY_S = 1.0
# A live holder rewrites the plan at least this often while work is pending.
RENEWAL_INTERVAL_S = 2.5
# Orders of the previous holder may still be in transit when its lease expires.
ORDER_TRANSIT_S = 0.3
# Share of a model's endpoints that may change at once while the others serve, by the
# elapsed share of the time limit for having the weights in force everywhere.
WAVE_SHARES_BY_TIME = ((0.0, 1 / 5), (0.45, 1 / 3), (0.65, 1 / 2))


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold an endpoint that serves a model and isn't draining."""

    lifetime: str
    version: int


@dataclass(frozen=True, slots=True)
class TakeoverTimes:
    """Hold the epoch times from which a node may take over a plan and send orders."""

    write_at: float
    order_at: float


def takeover_times(
    node: str,
    seen: SeenPlan | None,
    now: float,
    min_order_gap_s: float,
    pending_since: float,
) -> TakeoverTimes:
    """Return when a node may take over a roll-out.

    Orders of two holders must be more than `min_order_gap_s` apart, so leaving the plan
    with a silent holder until shortly before that delays nothing.
    """
    if seen is None or seen.plan.holder == node:
        return TakeoverTimes(now, now)
    if seen.plan.released:
        order_at = (
            seen.seen_at
            + max(0.0, min_order_gap_s - seen.plan.idle_s)
            + ORDER_TRANSIT_S
        )
        return TakeoverTimes(now, max(now, order_at))
    order_at = seen.seen_at + LEASE_S + min_order_gap_s + ORDER_TRANSIT_S
    silent_at = seen.seen_at + RENEWAL_INTERVAL_S + MAX_START_DELAY_S
    write_at = max(silent_at, pending_since + MAX_START_DELAY_S)
    return TakeoverTimes(max(now, write_at), max(now, order_at))


def wave_share(elapsed_s: float, limit_s: float) -> float:
    """Return the share of the endpoints that may change at once."""
    passed = elapsed_s / limit_s
    return max(share for since, share in WAVE_SHARES_BY_TIME if passed >= since)


def next_wave(
    candidates: Iterable[Candidate],
    target: int,
    under_way: frozenset[str],
    share: float,
) -> tuple[str, ...]:
    """Return the lifetimes of the next endpoints to change, oldest weights first."""
    known = tuple(candidates)
    room = max(1, math.ceil(len(known) * share)) - len(under_way)
    outdated = [
        each
        for each in known
        if each.version < target and each.lifetime not in under_way
    ]
    outdated.sort(key=lambda each: (each.version, _stable_hash(each.lifetime)))
    return tuple(each.lifetime for each in outdated[: max(0, room)])


def _stable_hash(lifetime: str) -> bytes:
    return hashlib.blake2b(lifetime.encode(), digest_size=8).digest()
