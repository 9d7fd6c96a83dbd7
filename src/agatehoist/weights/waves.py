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
# A holder that is running writes the plan within this time after endpoints become
# outdated.
MAX_START_DELAY_S = 1.0
# It then writes the plan again at least this often while endpoints are outdated.
RENEWAL_INTERVAL_S = 2.5
# A holder that hasn't written its plan for so long may be replaced.
TAKEOVER_SILENCE_S = RENEWAL_INTERVAL_S + MAX_START_DELAY_S
# Orders of the previous holder may still be in transit when its lease expires.
ORDER_TRANSIT_S = 0.3
# Share of a model's endpoints that may change at once while the others serve, by the
# elapsed share of the time limit for having the weights in force everywhere.
WAVE_SHARES_BY_TIME = ((0.0, 1 / 5), (0.45, 1 / 3), (0.65, 1 / 2))


@dataclass(frozen=True, slots=True)
class WaveCandidate:
    """Hold the weights version of an endpoint that isn't leaving."""

    lifetime: str
    version: int


@dataclass(frozen=True, slots=True)
class TakeoverTimes:
    """Hold the epoch times from which a node may take over a plan and send orders."""

    write_at: float
    order_at: float


@dataclass(frozen=True, slots=True)
class Continuity:
    """Hold what a node knows of earlier holders when the store can't tell.

    `listed_at` is the epoch time at which it first read the plans in the current era,
    or None if the store has no eras. Until `own_until` no other node can have taken
    over the plan that this process holds.
    """

    listed_at: float | None = None
    own_until: float = 0.0


def takeover_times(
    node: str,
    seen: SeenPlan | None,
    now: float,
    min_order_gap_s: float,
    outdated_since: float,
    continuity: Continuity = Continuity(),
) -> TakeoverTimes:
    """Return when a node may take over a roll-out.

    Orders of two holders must be more than `min_order_gap_s` apart (`order_turn_s` in
    the settings). A plan that its holder no longer writes is taken over only shortly
    before orders are allowed: an earlier takeover would not make the first order any
    earlier. A restored store may have lost the last holder's plan, so what it has left
    is taken over like the plan of a holder that wrote it when it was first read.

    The process that reads a plan of its own node may have started again, or may not
    know that its write took effect, so it waits for as long as the plan says.
    """
    unsure_since = _unsure_since(seen, continuity)
    if unsure_since is not None:
        if now < continuity.own_until:
            return TakeoverTimes(now, now)
        return _times_after_silence(unsure_since, now, min_order_gap_s, outdated_since)
    if seen is None:
        return TakeoverTimes(now, now)
    if seen.plan.holder == node and seen.plan.orders_wait_s is not None:
        longest_wait_s = LEASE_S + min_order_gap_s + ORDER_TRANSIT_S
        order_at = seen.seen_at + min(seen.plan.orders_wait_s, longest_wait_s)
        return TakeoverTimes(now, max(now, order_at))
    if seen.plan.holder == node or seen.plan.released:
        idle_s = seen.plan.idle_s if seen.plan.released else 0.0
        order_at = seen.seen_at + max(0.0, min_order_gap_s - idle_s) + ORDER_TRANSIT_S
        return TakeoverTimes(now, max(now, order_at))
    return _times_after_silence(seen.seen_at, now, min_order_gap_s, outdated_since)


def latest_times(times: Iterable[TakeoverTimes]) -> TakeoverTimes:
    """Return from when all of several plans may be taken over, and orders sent."""
    known = tuple(times)
    return TakeoverTimes(
        max(each.write_at for each in known), max(each.order_at for each in known)
    )


def _unsure_since(seen: SeenPlan | None, continuity: Continuity) -> float | None:
    """Return since when the last holder may be one whose plan was lost, or None."""
    if seen is None:
        return continuity.listed_at
    return seen.seen_at if seen.is_copy else None


def _times_after_silence(
    since: float, now: float, min_order_gap_s: float, outdated_since: float
) -> TakeoverTimes:
    order_at = since + LEASE_S + min_order_gap_s + ORDER_TRANSIT_S
    silent_at = since + TAKEOVER_SILENCE_S
    write_at = max(silent_at, outdated_since + MAX_START_DELAY_S)
    return TakeoverTimes(max(now, write_at), max(now, order_at))


def wave_share(elapsed_s: float, limit_s: float) -> float:
    """Return the share of the endpoints that may change at once."""
    passed = elapsed_s / limit_s
    return max(share for since, share in WAVE_SHARES_BY_TIME if passed >= since)


def next_wave(
    candidates: Iterable[WaveCandidate],
    target: int,
    changing: frozenset[str],
    share: float,
) -> tuple[str, ...]:
    """Return the lifetimes of the next endpoints to change, oldest weights first."""
    known = tuple(candidates)
    room = max(1, math.ceil(len(known) * share)) - len(changing)
    outdated = [
        each
        for each in known
        if each.version < target and each.lifetime not in changing
    ]
    outdated.sort(key=lambda each: (each.version, _stable_hash(each.lifetime)))
    return tuple(each.lifetime for each in outdated[: max(0, room)])


def _stable_hash(lifetime: str) -> bytes:
    # Sorts endpoints in the same order on all nodes, which is unrelated to their names.
    return hashlib.blake2b(lifetime.encode(), digest_size=8).digest()
