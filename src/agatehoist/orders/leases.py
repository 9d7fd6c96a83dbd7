"""Leases of the weight store: who may load, and when a roll-out stops."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from agatehoist.configuration import Orders
from agatehoist.orders.types import (
    PINNED,
    Claimant,
    Failure,
    Goal,
    Granted,
    Lease,
    Ledger,
    ModelEndpoints,
    Rollout,
    Stopped,
    Waiting,
)

if TYPE_CHECKING:
    import random

LEASE_S = 120.0
ASKS_PER_S = 40.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 60.0
LAPSE_WEIGHT = 0.5
TOLERATED_SHARE = 0.05
MAX_TOLERATED_FAILURES = 8
MAX_NOTED_HOSTS = 16
MAX_ROLLOUTS = 32
MAX_REASON_CHARACTERS = 200

Decision = Granted | Waiting | Stopped


@dataclass(frozen=True, slots=True)
class Ask:
    """Carry all that a decision about a lease depends on."""

    claimant: Claimant
    goal: Goal
    endpoints: ModelEndpoints
    orders: Orders
    now: float


def decide(ledger: Ledger, ask: Ask, rng: random.Random) -> Decision:
    """Grant a lease, or say why not and when to ask again."""
    ledger = drop_lapsed(ledger, ask.now)
    rollout = _rollout_for(ledger, ask.goal)
    held = _lease_of(ledger, ask.claimant.host)
    if rollout is None:
        return _wait("a newer revision is in force", ask, MAX_RETRY_S, rng)
    if held is not None and held.fencing_number > ask.claimant.fencing_number:
        return Stopped("a sidecar with a higher fencing number holds the lease")
    stop_reason = _stop_reason(rollout, ask.claimant.owner)
    if stop_reason and rollout.failures:
        return Stopped(stop_reason)
    if stop_reason:
        # Holders that an outage cut off may still report their success.
        return _wait(stop_reason, ask, MAX_RETRY_S, rng)
    leases = tuple(each for each in ledger.leases if each is not held)
    ledger = replace(ledger, leases=leases)
    obstacle = _obstacle(ledger, rollout, ask)
    if obstacle:
        return _wait(obstacle, ask, _turn_in_s(rollout, ask), rng)
    return _grant(ledger, rollout, ask)


def drop_lapsed(ledger: Ledger, now: float) -> Ledger:
    """Return the ledger without the leases that ran out, their hosts noted."""
    for lease in ledger.leases:
        if lease.expires_at > now:
            continue
        ledger = _without(ledger, lease)
        rollout = ledger.rollouts_by_name.get(lease.rollout)
        if rollout is not None and rollout.target == lease.target:
            lapsed_hosts = _noted(rollout.lapsed_hosts, lease.host)
            ledger = _with(ledger, lease.rollout, lapsed_hosts=lapsed_hosts)
    return ledger


def finish(ledger: Ledger, lease: Lease, error: str) -> Ledger:
    """Return the ledger after a load that ended; no error means success.

    Finishing twice changes nothing, so a lost answer may be tried again.
    """
    rollout = ledger.rollouts_by_name.get(lease.rollout)
    held = lease in ledger.leases
    ledger = _without(ledger, lease)
    if rollout is None or rollout.target != lease.target:
        return ledger
    host = lease.host
    if not held and host not in rollout.lapsed_hosts:
        return ledger
    lapsed_hosts = _without_host(rollout.lapsed_hosts, host)
    failures = tuple(each for each in rollout.failures if each.host != host)
    ledger = _with(ledger, lease.rollout, lapsed_hosts=lapsed_hosts, failures=failures)
    if error:
        failure = Failure(host, lease.owner, error[:MAX_REASON_CHARACTERS])
        failures = (*failures, failure)[-MAX_NOTED_HOSTS:]
        return _with(ledger, lease.rollout, failures=failures)
    down_hosts = _without_host(rollout.down_hosts, host)
    return _with(
        ledger, lease.rollout, loaded=rollout.loaded + 1, down_hosts=down_hosts
    )


def give_back(ledger: Ledger, lease: Lease) -> Ledger:
    """Return the ledger without a lease under which nothing was ordered."""
    return _without(ledger, lease)


def _rollout_for(ledger: Ledger, goal: Goal) -> Rollout | None:
    """Return the roll-out of the goal, or None if a newer one replaced it."""
    current = ledger.rollouts_by_name.get(goal.rollout)
    if current is None:
        return Rollout(goal.target, goal.revision)
    if current.target == goal.target:
        return replace(current, revision=max(current.revision, goal.revision))
    if current.revision >= goal.revision:
        return None
    down = [*current.down_hosts, *current.lapsed_hosts]
    down += [failure.host for failure in current.failures]
    down_hosts = tuple(dict.fromkeys(down))[-MAX_NOTED_HOSTS:]
    return Rollout(goal.target, goal.revision, down_hosts=down_hosts)


def _stop_reason(rollout: Rollout, owner: str) -> str:
    of_owner = [each for each in rollout.failures if each.owner == owner]
    evidence = len(rollout.failures) + LAPSE_WEIGHT * len(rollout.lapsed_hosts)
    tolerated = min(TOLERATED_SHARE * rollout.loaded, MAX_TOLERATED_FAILURES)
    if evidence < max(1, tolerated) and not of_owner:
        return ""
    reasons = [f"{each.host}: {each.reason}" for each in rollout.failures]
    reasons += [f"{host}: lease lapsed" for host in rollout.lapsed_hosts]
    return "; ".join(reasons)


def _obstacle(ledger: Ledger, rollout: Rollout, ask: Ask) -> str:
    if len(ledger.leases) >= ask.orders.concurrent_loads:
        return "all leases are taken"
    is_first = rollout.loaded == 0
    if is_first and any(each.rollout == ask.goal.rollout for each in ledger.leases):
        return "the first load of the target runs alone"
    if ask.claimant.interrupts and _would_break_floor(ledger, rollout, ask):
        return "the capacity floor is reached"
    return ""


def _would_break_floor(ledger: Ledger, rollout: Rollout, ask: Ask) -> bool:
    model = ask.goal.holding.model
    out = {each.host for each in ledger.leases if each.model == model}
    out.add(ask.claimant.host)
    rollouts_by_name = {**ledger.rollouts_by_name, ask.goal.rollout: rollout}
    for name, each in rollouts_by_name.items():
        if name.partition(PINNED)[0] == model:
            out.update(each.lapsed_hosts, each.down_hosts)
            out.update(failure.host for failure in each.failures)
    serving = len(ask.endpoints.live_hosts - out)
    return serving < math.ceil(ask.orders.capacity_floor * ask.endpoints.total)


def _grant(ledger: Ledger, rollout: Rollout, ask: Ask) -> Granted:
    lease = Lease(
        ask.claimant.host,
        ask.claimant.owner,
        ask.claimant.fencing_number,
        ask.goal.holding.model,
        ask.goal.rollout,
        ask.goal.target,
        ask.now + LEASE_S,
    )
    rollouts_by_name = _pruned({**ledger.rollouts_by_name, lease.rollout: rollout})
    return Granted(Ledger((*ledger.leases, lease), rollouts_by_name), lease)


def _pruned(rollouts_by_name: dict[str, Rollout]) -> dict[str, Rollout]:
    newest = sorted(
        rollouts_by_name, key=lambda name: rollouts_by_name[name].revision, reverse=True
    )
    return {name: rollouts_by_name[name] for name in newest[:MAX_ROLLOUTS]}


def _turn_in_s(rollout: Rollout, ask: Ask) -> float:
    # All that wait together ask at a bounded rate, however many they are.
    remaining = max(1, ask.endpoints.total - rollout.loaded)
    return remaining / ASKS_PER_S


def _wait(reason: str, ask: Ask, delay_s: float, rng: random.Random) -> Waiting:
    bounded_s = min(max(delay_s, MIN_RETRY_S), MAX_RETRY_S)
    return Waiting(reason, ask.now + bounded_s * rng.uniform(0.5, 1.5))


def _lease_of(ledger: Ledger, host: str) -> Lease | None:
    return next((each for each in ledger.leases if each.host == host), None)


def _noted(hosts: tuple[str, ...], host: str) -> tuple[str, ...]:
    return (*_without_host(hosts, host), host)[-MAX_NOTED_HOSTS:]


def _without_host(hosts: tuple[str, ...], host: str) -> tuple[str, ...]:
    return tuple(each for each in hosts if each != host)


def _without(ledger: Ledger, lease: Lease) -> Ledger:
    leases = tuple(each for each in ledger.leases if each != lease)
    return replace(ledger, leases=leases)


def _with(ledger: Ledger, name: str, **changes: object) -> Ledger:
    rollout = replace(ledger.rollouts_by_name[name], **changes)  # type: ignore[arg-type]
    return replace(ledger, rollouts_by_name={**ledger.rollouts_by_name, name: rollout})
