"""Decisions on who orders new weights and which endpoints take them next."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.weights.types import SeenPlan

# How long after the start of its last write a holder may give orders.
LEASE_S = 0.8
# A holder that lives begins with what is pending within this time.
ATTENTION_S = 1.0
# A holder that lives writes at least this often while something is pending.
RENEWAL_S = 2.5
# Orders of the last holder may still be on their way when its lease ends.
ORDER_TRANSIT_S = 0.3
# Share of a model's endpoints that change at a time, the others serve; more do once a
# share of the time has passed within which the weights must be in force everywhere.
WAVE_SHARES_BY_TIME = ((0.0, 1 / 5), (0.45, 1 / 3), (0.65, 1 / 2))


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe an endpoint of a model that isn't leaving."""

    lifetime: str
    version: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Say from which epoch time on a node may take a plan over, and may order."""

    write_at: float
    order_at: float


def claim(
    node: str, seen: SeenPlan | None, now: float, turn_s: float, pending_since: float
) -> Claim:
    """Return when a node may take a roll-out over.

    Orders of two holders must lie further apart than the turn, so nothing is lost by
    leaving a silent holder the plan until shortly before.
    """
    if seen is None or seen.plan.holder == node:
        return Claim(now, now)
    if seen.plan.released:
        order_at = seen.seen_at + max(0.0, turn_s - seen.plan.idle_s) + ORDER_TRANSIT_S
        return Claim(now, max(now, order_at))
    order_at = seen.seen_at + LEASE_S + turn_s + ORDER_TRANSIT_S
    silent_at = seen.seen_at + RENEWAL_S + ATTENTION_S
    write_at = max(silent_at, pending_since + ATTENTION_S)
    return Claim(max(now, write_at), max(now, order_at))


def wave_share(elapsed_s: float, limit_s: float) -> float:
    """Return the share of the endpoints that may change at a time."""
    passed = elapsed_s / limit_s
    return max(share for since, share in WAVE_SHARES_BY_TIME if passed >= since)


def next_wave(
    candidates: Iterable[Candidate],
    target: int,
    under_way: frozenset[str],
    share: float,
) -> tuple[str, ...]:
    """Return the lifetimes of the endpoints that change next, the oldest first."""
    known = tuple(candidates)
    room = max(1, math.ceil(len(known) * share)) - len(under_way)
    outdated = [
        each
        for each in known
        if each.version < target and each.lifetime not in under_way
    ]
    outdated.sort(key=lambda each: (each.version, _spread(each.lifetime)))
    return tuple(each.lifetime for each in outdated[: max(0, room)])


def _spread(lifetime: str) -> bytes:
    return hashlib.blake2b(lifetime.encode(), digest_size=8).digest()
