"""Roll-outs by the decisions on leases, with a queue of events and virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from agatehoist.configuration import Orders
from agatehoist.orders.leases import LoadRequest, decide, finish
from agatehoist.orders.types import (
    Claimant,
    Goal,
    Granted,
    Holding,
    Ledger,
    ModelEndpoints,
    Stopped,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.orders.types import Lease

MODEL = "songs-8b"
CALL_S = 0.005
RETRY_S = 0.5
SIZES = (10, 40, 170, 1200)


@dataclass(frozen=True)
class Faults:
    """Say what goes wrong; times are in seconds."""

    bad: bool = False
    lost_answer_share: float = 0.0
    dead_share: float = 0.0
    down_from: float = 0.0
    down_until: float = 0.0


@dataclass
class Outcome:
    """Hold what a roll-out did."""

    took_s: float = 0.0
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
        faults: Faults | None = None,
    ) -> None:
        self.orders = orders
        self.outcome = Outcome(fewest_serving=hosts)
        self._rng = random.Random(seed)
        self._drain_s = drain_s
        self._faults = faults or Faults()
        self._hosts = [f"host-{index}" for index in range(hosts)]
        self._dead = {
            host for host in self._hosts if self._chance(self._faults.dead_share)
        }
        self._out: set[str] = set()
        self._loading: set[str] = set()
        self._ledger = Ledger()
        self._version = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()

    def run(self, until: float) -> Outcome:
        """Return the outcome once every host has ended or the time is over."""
        for host in self._hosts:
            # The configuration reaches the hosts within a second.
            self._at(self._rng.random(), partial(self._ask, host))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            if now > until:
                break
            action(now)
        return self.outcome

    def _at(self, time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def _chance(self, share: float) -> bool:
        return self._rng.random() < share

    def _is_down(self, now: float) -> bool:
        return self._faults.down_from <= now < self._faults.down_until

    def _retry(self, now: float, action: Callable[[float], None]) -> None:
        self._at(now + RETRY_S * self._rng.uniform(1, 2), action)

    def _ask(self, host: str, now: float) -> None:
        self.outcome.calls["read"] += 1
        if self._is_down(now):
            self._retry(now, partial(self._ask, host))
            return
        goal = Goal(host, Holding(MODEL, "2"), 1, 2, MODEL)
        endpoints = ModelEndpoints(len(self._hosts), frozenset(self._hosts))
        claimant = Claimant(host, host, 1, True)
        ask = LoadRequest(claimant, goal, endpoints, self.orders, now)
        decision = decide(self._ledger, ask, self._rng)
        if isinstance(decision, Stopped):
            self.outcome.stop_reason = decision.reason
        elif isinstance(decision, Granted):
            self._write(
                now + CALL_S,
                self._version,
                decision.ledger,
                partial(self._begin, host, decision.lease),
                partial(self._ask, host),
            )
        else:
            self._at(decision.retry_at, partial(self._ask, host))

    def _write(
        self,
        now: float,
        version: int,
        ledger: Ledger,
        then: Callable[[float], None],
        again: Callable[[float], None],
    ) -> None:
        def arrive(now: float) -> None:
            self.outcome.calls["write"] += 1
            if self._is_down(now):
                self._retry(now, again)
            elif version != self._version:
                self.outcome.calls["conflict"] += 1
                self._at(now + CALL_S, again)
            else:
                self._ledger = ledger
                self._version += 1
                lost = self._chance(self._faults.lost_answer_share)
                self._at(now + CALL_S, again if lost else then)

        self._at(now, arrive)

    def _begin(self, host: str, lease: Lease, now: float) -> None:
        self._out.add(host)
        serving = len(self._hosts) - len(self._out)
        self.outcome.fewest_serving = min(self.outcome.fewest_serving, serving)
        self._at(now + self._drain_s, partial(self._load, host, lease))

    def _load(self, host: str, lease: Lease, now: float) -> None:
        self._loading.add(host)
        self.outcome.peak_loads = max(self.outcome.peak_loads, len(self._loading))
        slowdown = max(1.0, len(self._loading) / self.orders.concurrent_loads)
        if host not in self._dead:
            self._at(now + slowdown, partial(self._loaded, host, lease))
        else:
            self._at(now + slowdown, lambda _now: self._loading.discard(host))

    def _loaded(self, host: str, lease: Lease, now: float) -> None:
        self._loading.discard(host)
        if self._faults.bad:
            self.outcome.failed += 1
        else:
            self._out.discard(host)
            self.outcome.loaded += 1
        self._finish(lease, now)

    def _finish(self, lease: Lease, now: float) -> None:
        self.outcome.calls["read"] += 1
        if self._is_down(now):
            self._retry(now, partial(self._finish, lease))
            return
        ledger = finish(self._ledger, lease, "bad" if self._faults.bad else "")
        if ledger != self._ledger:
            again = partial(self._finish, lease)
            self._write(now + CALL_S, self._version, ledger, self._end, again)

    def _end(self, now: float) -> None:
        self.outcome.took_s = now


def main() -> None:
    """Print time and platform calls of roll-outs against the number of hosts."""
    print("hosts  loads  floor drain   time_s writes conflicts  reads reads/s peak out")
    for concurrent_loads, drain_s in ((3, 0.0), (3, 5.0), (2, 0.0)):
        orders = replace(Orders(), concurrent_loads=concurrent_loads)
        for hosts in SIZES:
            outcome = Simulation(hosts, orders, drain_s=drain_s).run(1e6)
            calls = outcome.calls
            print(
                f"{hosts:5} {concurrent_loads:6} {orders.capacity_floor:6}"
                f" {drain_s:5} {outcome.took_s:8.1f} {calls['write']:6}"
                f" {calls['conflict']:9} {calls['read']:6}"
                f" {calls['read'] / outcome.took_s:7.1f} {outcome.peak_loads:4}"
                f" {hosts - outcome.fewest_serving:3}"
            )


if __name__ == "__main__":
    main()
