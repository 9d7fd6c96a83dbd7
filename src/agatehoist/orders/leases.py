"""Decisions on leases and roll-outs.

A host needs a lease to carry out an order. Leases limit how many hosts load from the
weight store at once, and a roll-out with too many failed loads grants no more of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from agatehoist.configuration import Orders
from agatehoist.orders.types import (
    PINNED_SEPARATOR,
    Failure,
    Goal,
    Granted,
    Lease,
    LeaseRequester,
    Ledger,
    ModelEndpoints,
    Rollout,
    Stopped,
    Waiting,
)

if TYPE_CHECKING:
    import random

LEASE_S = 120.0
# Limit for all hosts of a model together.
LEASE_REQUESTS_PER_S = 40.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 60.0
FAILURES_PER_EXPIRED_LEASE = 0.5
# Share of the hosts that have loaded the target of the roll-out.
TOLERATED_FAILURE_SHARE = 0.05
MAX_TOLERATED_FAILURES = 8
MAX_RECORDED_HOSTS = 16
MAX_ROLLOUTS = 32
MAX_REASON_CHARACTERS = 200

Decision = Granted | Waiting | Stopped


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """Hold all inputs of a decision about a lease, except for the ledger."""

    requester: LeaseRequester
    goal: Goal
    endpoints: ModelEndpoints
    orders: Orders
    now: float


def decide_on_lease(
    ledger: Ledger, request: LoadRequest, rng: random.Random
) -> Decision:
    """Grant a lease, or return why not and when to ask again."""
    ledger = drop_expired(ledger, request.now)
    rollout = _rollout_for(ledger, request.goal)
    held = _lease_of(ledger, request.requester.host)
    if rollout is None:
        return _wait("a newer revision is in force", request, MAX_RETRY_S, rng)
    if held is not None and held.fencing_number > request.requester.fencing_number:
        return Stopped("a sidecar with a higher fencing number holds the lease")
    stop_reason = _stop_reason(rollout, request.requester.owner)
    if stop_reason and rollout.failures:
        return Stopped(stop_reason)
    if stop_reason:
        # There are only expired leases: their hosts, cut off by an outage, may still
        # report a success, so the roll-out waits.
        return _wait(stop_reason, request, MAX_RETRY_S, rng)
    leases = tuple(each for each in ledger.leases if each is not held)
    ledger = replace(ledger, leases=leases)
    wait_reason = _wait_reason(ledger, rollout, request)
    if wait_reason:
        return _wait(wait_reason, request, _retry_delay_s(rollout, request), rng)
    return _grant(ledger, rollout, request)


def drop_expired(ledger: Ledger, now: float) -> Ledger:
    """Return the ledger without expired leases; adds their hosts to `lapsed_hosts`."""
    for lease in ledger.leases:
        if lease.expires_at > now:
            continue
        ledger = _remove_lease(ledger, lease)
        rollout = ledger.rollouts_by_name.get(lease.rollout)
        if rollout is not None and rollout.target == lease.target:
            lapsed_hosts = _add_host(rollout.lapsed_hosts, lease.host)
            ledger = _update_rollout(ledger, lease.rollout, lapsed_hosts=lapsed_hosts)
    return ledger


def record_load_result(ledger: Ledger, lease: Lease, error: str) -> Ledger:
    """Return the ledger with the result of a load; an empty error means success.

    The change is idempotent, so it can be retried when the answer to a write is lost.
    """
    rollout = ledger.rollouts_by_name.get(lease.rollout)
    held = lease in ledger.leases
    ledger = _remove_lease(ledger, lease)
    if rollout is None or rollout.target != lease.target:
        return ledger
    host = lease.host
    if not held and host not in rollout.lapsed_hosts:
        return ledger
    lapsed_hosts = _remove_host(rollout.lapsed_hosts, host)
    failures = tuple(each for each in rollout.failures if each.host != host)
    ledger = _update_rollout(
        ledger, lease.rollout, lapsed_hosts=lapsed_hosts, failures=failures
    )
    if error:
        failure = Failure(host, lease.owner, error[:MAX_REASON_CHARACTERS])
        failures = (*failures, failure)[-MAX_RECORDED_HOSTS:]
        return _update_rollout(ledger, lease.rollout, failures=failures)
    down_hosts = _remove_host(rollout.down_hosts, host)
    return _update_rollout(
        ledger, lease.rollout, loaded=rollout.loaded + 1, down_hosts=down_hosts
    )


def release_lease(ledger: Ledger, lease: Lease) -> Ledger:
    """Return the ledger without a lease under which no order was sent."""
    return _remove_lease(ledger, lease)


def _rollout_for(ledger: Ledger, goal: Goal) -> Rollout | None:
    """Return the roll-out of the goal.

    Return None if the ledger has another target of the same or a newer revision.
    """
    current = ledger.rollouts_by_name.get(goal.rollout)
    if current is None:
        return Rollout(goal.target, goal.revision)
    if current.target == goal.target:
        return replace(current, revision=max(current.revision, goal.revision))
    if current.revision >= goal.revision:
        return None
    down_host_names = [*current.down_hosts, *current.lapsed_hosts]
    down_host_names += [failure.host for failure in current.failures]
    down_hosts = tuple(dict.fromkeys(down_host_names))[-MAX_RECORDED_HOSTS:]
    return Rollout(goal.target, goal.revision, down_hosts=down_hosts)


def _stop_reason(rollout: Rollout, owner: str) -> str:
    own_failures = [each for each in rollout.failures if each.owner == owner]
    failure_count = len(rollout.failures) + FAILURES_PER_EXPIRED_LEASE * len(
        rollout.lapsed_hosts
    )
    tolerated = min(TOLERATED_FAILURE_SHARE * rollout.loaded, MAX_TOLERATED_FAILURES)
    if failure_count < max(1, tolerated) and not own_failures:
        return ""
    reasons = [f"{each.host}: {each.reason}" for each in rollout.failures]
    reasons += [f"{host}: lease lapsed" for host in rollout.lapsed_hosts]
    return "; ".join(reasons)


def _wait_reason(ledger: Ledger, rollout: Rollout, request: LoadRequest) -> str:
    if len(ledger.leases) >= request.orders.concurrent_loads:
        return "all leases are taken"
    # Until one host has loaded the target, only one host loads it at a time.
    is_first = rollout.loaded == 0
    if is_first and any(each.rollout == request.goal.rollout for each in ledger.leases):
        return "the first load of the target runs alone"
    if request.requester.interrupts and _would_fall_below_capacity_floor(
        ledger, rollout, request
    ):
        return "the capacity floor is reached"
    return ""


def _would_fall_below_capacity_floor(
    ledger: Ledger, rollout: Rollout, request: LoadRequest
) -> bool:
    model = request.goal.holding.model
    unavailable_hosts = {each.host for each in ledger.leases if each.model == model}
    unavailable_hosts.add(request.requester.host)
    rollouts_by_name = {**ledger.rollouts_by_name, request.goal.rollout: rollout}
    for name, each in rollouts_by_name.items():
        if name.partition(PINNED_SEPARATOR)[0] == model:
            unavailable_hosts.update(each.lapsed_hosts, each.down_hosts)
            unavailable_hosts.update(failure.host for failure in each.failures)
    serving = len(request.endpoints.live_hosts - unavailable_hosts)
    return serving < math.ceil(request.orders.capacity_floor * request.endpoints.total)


def _grant(ledger: Ledger, rollout: Rollout, request: LoadRequest) -> Granted:
    lease = Lease(
        request.requester.host,
        request.requester.owner,
        request.requester.fencing_number,
        request.goal.holding.model,
        request.goal.rollout,
        request.goal.target,
        request.now + LEASE_S,
    )
    rollouts_by_name = _newest_rollouts(
        {**ledger.rollouts_by_name, lease.rollout: rollout}
    )
    return Granted(Ledger((*ledger.leases, lease), rollouts_by_name), lease)


def _newest_rollouts(rollouts_by_name: dict[str, Rollout]) -> dict[str, Rollout]:
    newest = sorted(
        rollouts_by_name, key=lambda name: rollouts_by_name[name].revision, reverse=True
    )
    return {name: rollouts_by_name[name] for name in newest[:MAX_ROLLOUTS]}


def _retry_delay_s(rollout: Rollout, request: LoadRequest) -> float:
    # Limits the total rate of lease requests, however many hosts wait.
    remaining = max(1, request.endpoints.total - rollout.loaded)
    return remaining / LEASE_REQUESTS_PER_S


def _wait(
    reason: str, request: LoadRequest, delay_s: float, rng: random.Random
) -> Waiting:
    clamped_s = min(max(delay_s, MIN_RETRY_S), MAX_RETRY_S)
    return Waiting(reason, request.now + clamped_s * rng.uniform(0.5, 1.5))


def _lease_of(ledger: Ledger, host: str) -> Lease | None:
    return next((each for each in ledger.leases if each.host == host), None)


def _add_host(hosts: tuple[str, ...], host: str) -> tuple[str, ...]:
    return (*_remove_host(hosts, host), host)[-MAX_RECORDED_HOSTS:]


def _remove_host(hosts: tuple[str, ...], host: str) -> tuple[str, ...]:
    return tuple(each for each in hosts if each != host)


def _remove_lease(ledger: Ledger, lease: Lease) -> Ledger:
    leases = tuple(each for each in ledger.leases if each != lease)
    return replace(ledger, leases=leases)


def _update_rollout(ledger: Ledger, name: str, **changes: object) -> Ledger:
    rollout = replace(ledger.rollouts_by_name[name], **changes)  # type: ignore[arg-type]
    return replace(ledger, rollouts_by_name={**ledger.rollouts_by_name, name: rollout})
