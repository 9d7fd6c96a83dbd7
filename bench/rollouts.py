"""Discrete-event simulation of roll-outs whose hosts lease their turn to load."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from agatehoist.configuration import Orders
from agatehoist.orders.leases import LoadRequest, decide_on_lease, record_load_result
from agatehoist.orders.types import (
    Goal,
    Granted,
    Holding,
    LeaseRequester,
    Ledger,
    ModelEndpoints,
    Stopped,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.orders.types import Lease

MODEL = "songs-8b"
CALL_LATENCY_S = 0.005
RETRY_DELAY_S = 0.5
HOST_COUNTS = (10, 40, 170, 1200)


@dataclass(frozen=True)
class RolloutFaults:
    """Describe the injected faults.

    If bad is set, every load of the version fails. lost_answer_share is the share of
    ledger writes whose reply is lost, and dead_share that of hosts that die while they
    load. The platform is down between the times down_from and down_until in seconds.
    """

    bad: bool = False
    lost_answer_share: float = 0.0
    dead_share: float = 0.0
    down_from: float = 0.0
    down_until: float = 0.0


@dataclass
class Outcome:
    """Hold the results of a roll-out; duration_s is when its last host ended."""

    duration_s: float = 0.0
    loaded: int = 0
    failed: int = 0
    peak_loads: int = 0
    fewest_serving: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    stop_reason: str = ""


class Simulation:
    """Roll one version out over the hosts of one model."""

    def __init__(
        self,
        hosts: int,
        orders: Orders,
        seed: int = 1,
        drain_s: float = 0.0,
        faults: RolloutFaults | None = None,
    ) -> None:
        self.orders = orders
        self.outcome = Outcome(fewest_serving=hosts)
        self._rng = random.Random(seed)
        self._drain_s = drain_s
        self._faults = faults or RolloutFaults()
        self._hosts = [f"host-{index}" for index in range(hosts)]
        self._dead_hosts = {
            host for host in self._hosts if self._draw(self._faults.dead_share)
        }
        self._out_of_service: set[str] = set()
        self._loading_hosts: set[str] = set()
        self._ledger = Ledger()
        self._version = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()

    def run(self, until: float) -> Outcome:
        """Return the outcome once no events are left, or at a time in seconds."""
        for host in self._hosts:
            # The hosts receive the configuration within a second.
            self._schedule(self._rng.random(), partial(self._request_lease, host))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            if now > until:
                break
            action(now)
        return self.outcome

    def _schedule(self, time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def _draw(self, share: float) -> bool:
        return self._rng.random() < share

    def _is_platform_down(self, now: float) -> bool:
        return self._faults.down_from <= now < self._faults.down_until

    def _retry_later(self, now: float, action: Callable[[float], None]) -> None:
        self._schedule(now + RETRY_DELAY_S * self._rng.uniform(1, 2), action)

    def _request_lease(self, host: str, now: float) -> None:
        self.outcome.calls["read"] += 1
        if self._is_platform_down(now):
            self._retry_later(now, partial(self._request_lease, host))
            return
        goal = Goal(host, Holding(MODEL, "2"), 1, 2, MODEL)
        endpoints = ModelEndpoints(len(self._hosts), frozenset(self._hosts))
        requester = LeaseRequester(host, host, 1, True)
        load_request = LoadRequest(requester, goal, endpoints, self.orders, now)
        decision = decide_on_lease(self._ledger, load_request, self._rng)
        if isinstance(decision, Stopped):
            self.outcome.stop_reason = decision.reason
        elif isinstance(decision, Granted):
            self._write_ledger(
                now + CALL_LATENCY_S,
                self._version,
                decision.ledger,
                partial(self._begin_drain, host, decision.lease),
                partial(self._request_lease, host),
            )
        else:
            self._schedule(decision.retry_at, partial(self._request_lease, host))

    def _write_ledger(
        self,
        now: float,
        version: int,
        ledger: Ledger,
        on_written: Callable[[float], None],
        retry: Callable[[float], None],
    ) -> None:
        def handle_write(now: float) -> None:
            self.outcome.calls["write"] += 1
            if self._is_platform_down(now):
                self._retry_later(now, retry)
            elif version != self._version:
                self.outcome.calls["conflict"] += 1
                self._schedule(now + CALL_LATENCY_S, retry)
            else:
                self._ledger = ledger
                self._version += 1
                lost = self._draw(self._faults.lost_answer_share)
                self._schedule(now + CALL_LATENCY_S, retry if lost else on_written)

        self._schedule(now, handle_write)

    def _begin_drain(self, host: str, lease: Lease, now: float) -> None:
        self._out_of_service.add(host)
        serving = len(self._hosts) - len(self._out_of_service)
        self.outcome.fewest_serving = min(self.outcome.fewest_serving, serving)
        self._schedule(now + self._drain_s, partial(self._load_version, host, lease))

    def _load_version(self, host: str, lease: Lease, now: float) -> None:
        self._loading_hosts.add(host)
        self.outcome.peak_loads = max(self.outcome.peak_loads, len(self._loading_hosts))
        load_duration_s = max(
            1.0, len(self._loading_hosts) / self.orders.concurrent_loads
        )
        if host not in self._dead_hosts:
            self._schedule(
                now + load_duration_s, partial(self._handle_load_end, host, lease)
            )
        else:
            self._schedule(
                now + load_duration_s, lambda _now: self._loading_hosts.discard(host)
            )

    def _handle_load_end(self, host: str, lease: Lease, now: float) -> None:
        self._loading_hosts.discard(host)
        if self._faults.bad:
            self.outcome.failed += 1
        else:
            self._out_of_service.discard(host)
            self.outcome.loaded += 1
        self._finish_lease(lease, now)

    def _finish_lease(self, lease: Lease, now: float) -> None:
        self.outcome.calls["read"] += 1
        if self._is_platform_down(now):
            self._retry_later(now, partial(self._finish_lease, lease))
            return
        ledger = record_load_result(
            self._ledger, lease, "bad" if self._faults.bad else ""
        )
        if ledger != self._ledger:
            retry = partial(self._finish_lease, lease)
            self._write_ledger(
                now + CALL_LATENCY_S, self._version, ledger, self._record_end, retry
            )

    def _record_end(self, now: float) -> None:
        self.outcome.duration_s = now


def main() -> None:
    """Print the duration and the platform calls of roll-outs by the number of hosts."""
    print("hosts  loads  floor drain   time_s writes conflicts  reads reads/s peak out")
    for concurrent_loads, drain_s in ((3, 0.0), (3, 5.0), (2, 0.0)):
        orders = replace(Orders(), concurrent_loads=concurrent_loads)
        for hosts in HOST_COUNTS:
            outcome = Simulation(hosts, orders, drain_s=drain_s).run(1e6)
            calls = outcome.calls
            print(
                f"{hosts:5} {concurrent_loads:6} {orders.capacity_floor:6}"
                f" {drain_s:5} {outcome.duration_s:8.1f} {calls['write']:6}"
                f" {calls['conflict']:9} {calls['read']:6}"
                f" {calls['read'] / outcome.duration_s:7.1f} {outcome.peak_loads:4}"
                f" {hosts - outcome.fewest_serving:3}"
            )


if __name__ == "__main__":
    main()
