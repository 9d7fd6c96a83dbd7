"""Simulation of gateways that share an allotment, without I/O."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, Any

from agatehoist.core.address import Address
from agatehoist.limits.allotment_node import (
    ANSWER_WITHIN_S,
    SECOND_ASK_AFTER_S,
    TICK_S,
    AllotmentNode,
    AskBatch,
)
from agatehoist.limits.endpoint_permits import ranked_homes
from agatehoist.limits.types import Admit, AllotmentBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.limits.allotment_node import WaitingRequest
    from agatehoist.limits.allotments import Terms

BOUNDS = AllotmentBounds(8.0, 0.1, 110_000.0)
ORGANISATION = b"oorgan"
LINK_S = 0.001


def used_by_one_bucket(asked: list[tuple[float, float]], terms: Terms) -> float:
    """Return what a single bucket, empty at first, would admit."""
    level = last = total = 0.0
    for at, cost in asked:
        level = min(terms.burst, level + (at - last) * terms.rate_per_s)
        last = at
        if level > 0:
            level -= cost
            total += cost
    return total


def allowed_in_window(terms: Terms) -> float:
    """Return the most that may be used in a window."""
    allotted = terms.rate_per_s * BOUNDS.window_s + terms.burst
    return allotted * (1 + BOUNDS.overage) + BOUNDS.slack


class Gateways:
    """Play requests on gateways whose messages, processes and tables may fail."""

    def __init__(self, count: int, terms: Terms, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.addresses = [
            Address(f"10.0.{n // 250}.{n % 250 + 1}", 1) for n in range(count)
        ]
        self._indexes = {each: n for n, each in enumerate(self.addresses)}
        self.terms_at: Callable[[int, float], Terms] = lambda _n, _now: terms
        # Whether a message from a gateway reaches another one at a time.
        self.reaches: Callable[[int, int, float], bool] = lambda _a, _b, _now: True
        self._all = frozenset(self.addresses)
        # The gateways that one lists at a time.
        self.listed: Callable[[int, float], frozenset[Address]] = lambda _n, _now: (
            self._all
        )
        self.frozen: dict[int, tuple[float, float]] = {}
        self.nodes: dict[int, AllotmentNode] = {}
        self.home = self.addresses.index(
            ranked_homes(ORGANISATION, frozenset(self.addresses))[0]
        )
        self.used: list[tuple[float, float]] = []
        self.asked: list[tuple[float, float]] = []
        self.waits: list[float] = []
        self.messages = 0
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self.started_at: dict[int, float] = {}
        for index in range(count):
            self.at(self.rng.random() * 0.2, self.start, index)

    def at(self, when: float, run: Callable[..., None], *arguments: Any) -> None:
        """Run something at a time."""
        heapq.heappush(self._queue, (when, next(self._order), run, arguments))

    def start(self, index: int) -> None:
        """Start the process of a gateway, or kill it and start another."""
        node = AllotmentNode(
            self.addresses[index],
            BOUNDS,
            self.rng.getrandbits(30),
            lambda _home, _reachable: None,
        )
        node.set_nodes(self.listed(index, self.now))
        self.nodes[index] = node
        self._tick(index, node)

    def stop(self, index: int) -> None:
        """Kill the process of a gateway."""
        self.nodes.pop(index, None)

    def request(self, index: int, cost: float) -> None:
        """Send a request to a gateway that runs, as callers go to another one."""
        node = self.nodes.get(index)
        if node is None or self._frozen_until(index):
            return
        self.asked.append((self.now, cost))
        terms = self.terms_at(index, self.now)
        sent_at, undecided = self.now, []

        def decided() -> None:
            for each in undecided:
                self._note(each, sent_at)

        waiting = node.request(ORGANISATION, terms, cost, decided, self.now)
        self._flush(index, node)
        if waiting.verdict is None:
            undecided.append(waiting)
            after = (index, node, waiting)
            self.at(self.now + SECOND_ASK_AFTER_S, self._ask_second, *after)
            self.at(self.now + ANSWER_WITHIN_S, self._end, *after)
        else:
            self._note(waiting, sent_at)

    def run(self, until: float) -> None:
        """Play up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _order, run, arguments = heapq.heappop(self._queue)
            run(*arguments)

    def send_load(
        self,
        rate: Callable[[float], float],
        until: float,
        pick: Callable[[float], int],
        costs: tuple[float, ...] = (884.0, 9200.0),
    ) -> None:
        """Send requests of a total rate, in the unit of the allotment."""
        mean = sum(costs) / len(costs)
        now = self.now
        while now < until:
            now += self.rng.expovariate(max(1.0, rate(now)) / mean)
            self.at(now, self.request, pick(now), self.rng.choice(costs))

    def most_in_window(self, since: float = 0.0) -> float:
        """Return the most that was used in any window that begins after a time."""
        used = sorted(each for each in self.used if each[0] >= since)
        most = total = 0.0
        first = 0
        for at, cost in used:
            total += cost
            while used[first][0] < at - BOUNDS.window_s:
                total -= used[first][1]
                first += 1
            most = max(most, total)
        return most

    def used_between(self, since: float, until: float) -> float:
        """Return what was used in a time."""
        return sum(cost for at, cost in self.used if since <= at < until)

    def asked_between(self, since: float, until: float) -> float:
        """Return what callers asked for in a time."""
        return sum(cost for at, cost in self.asked if since <= at < until)

    def _frozen_until(self, index: int) -> float:
        since, until = self.frozen.get(index, (0.0, 0.0))
        return until if since <= self.now < until else 0.0

    def _tick(self, index: int, node: AllotmentNode) -> None:
        if self.nodes.get(index) is not node:
            return
        if until := self._frozen_until(index):
            self.at(until, self._tick, index, node)
            return
        terms = self.terms_at(index, self.now)
        node.set_nodes(self.listed(index, self.now))
        node.set_table({ORGANISATION: terms}, terms.version)
        node.tick(self.now)
        self._flush(index, node)
        self.at(self.now + TICK_S, self._tick, index, node)

    def _flush(self, index: int, node: AllotmentNode) -> None:
        for destination, batch in node.outbox:
            to = self._indexes[destination]
            self.messages += 1
            if self.reaches(index, to, self.now):
                self.at(self.now + LINK_S, self._deliver, index, to, batch, self.now)
        node.outbox.clear()

    def _deliver(self, sender: int, index: int, batch: Any, sent_at: float) -> None:
        node = self.nodes.get(index)
        if node is None:
            return
        if until := self._frozen_until(index):
            frozen_at = self.frozen[index][0]
            at = min(sent_at, frozen_at)
            self.at(until, self._deliver, sender, index, batch, at)
            return
        if self.addresses[sender] not in self.listed(index, self.now):
            node.hear_unlisted(self.addresses[sender], self.now)
            return
        if isinstance(batch, AskBatch):
            node.receive_asks(batch, sent_at, self.now)
        else:
            node.receive_grants(batch, self.now)
        self._flush(index, node)

    def _ask_second(
        self, index: int, node: AllotmentNode, waiting: WaitingRequest
    ) -> None:
        if self._runs(index, node) and waiting.verdict is None:
            terms = self.terms_at(index, self.now)
            node.ask_second(ORGANISATION, terms, self.now)
            self._flush(index, node)

    def _end(self, index: int, node: AllotmentNode, waiting: WaitingRequest) -> None:
        if self._runs(index, node) and waiting.verdict is None:
            terms = self.terms_at(index, self.now)
            node.give_up(ORGANISATION, terms, waiting, self.now)
            self._flush(index, node)

    def _runs(self, index: int, node: AllotmentNode) -> bool:
        return self.nodes.get(index) is node and not self._frozen_until(index)

    def _note(self, waiting: WaitingRequest, sent_at: float) -> None:
        self.waits.append(self.now - sent_at)
        if isinstance(waiting.verdict, Admit):
            self.used.append((self.now, waiting.cost))
