"""Measure the spread decisions at the target size on a virtual clock."""

from __future__ import annotations

import statistics

from agatehoist.gossip.sources import HOSTS_INTERVAL_S
from agatehoist.membership.election import elected_hosts
from agatehoist.storage.client import WATCH_TIMEOUT_S
from bench.spread_events import Node, Shape, SpreadEvents

NODES = 1590
WARM_UP_S = 10.0
DAY_S = 86_400
CHANGES_A_DAY = 1400
HOST_LISTS_A_DAY = 3 * 282
STEADY_S = 300.0
CUT_S = 120.0
HEALED_REGION = "region1"


def main() -> None:
    """Print times in force, bytes and platform calls."""
    for loss in (0.0, 0.05, 0.2):
        for seed in (1, 2):
            _measure_change(Shape(NODES, loss=loss, seed=seed))
    for seed in (1, 2):
        _measure_cut(Shape(NODES, loss=0.05, seed=seed))
    _measure_bytes(Shape(NODES, loss=0.01))
    for nodes in (100, 400, NODES, 6400):
        _measure_calls(nodes)


def _measure_change(shape: Shape) -> None:
    fleet = SpreadEvents(shape)
    fleet.run_until(WARM_UP_S)
    fleet.publish(1)
    fleet.run_until(WARM_UP_S + 30)
    _report(f"loss {shape.loss:.0%} seed {shape.seed}", fleet, 1, WARM_UP_S)


def _measure_cut(shape: Shape) -> None:
    fleet = SpreadEvents(shape)
    fleet.run_until(WARM_UP_S)
    fleet.cut_regions = frozenset({HEALED_REGION})
    fleet.publish(1)
    fleet.run_until(WARM_UP_S + CUT_S)
    outside = [
        node
        for node in fleet.nodes_by_host.values()
        if node.entry.region != HEALED_REGION
    ]
    text = f"region cut, loss {shape.loss:.0%} seed {shape.seed}"
    _report(f"{text}, outside", fleet, 1, WARM_UP_S, outside)
    fleet.cut_regions = frozenset()
    healed_at = fleet.now
    fleet.run_until(healed_at + 30)
    inside = [each for each in fleet.nodes_by_host.values() if each not in outside]
    _report(f"{text}, inside after the heal", fleet, 1, healed_at, inside)


def _measure_bytes(shape: Shape) -> None:
    fleet = SpreadEvents(shape)
    fleet.run_until(WARM_UP_S)
    before = _bytes(fleet)
    changes = round((CHANGES_A_DAY + HOST_LISTS_A_DAY) / DAY_S * STEADY_S)
    for version in range(1, changes + 1):
        fleet.publish(version)
        fleet.run_until(WARM_UP_S + version * STEADY_S / changes)
    rates = [
        (after - earlier) / STEADY_S
        for after, earlier in zip(_bytes(fleet), before, strict=True)
    ]
    print(
        f"bytes a second a node, both ways, {changes} changes of"
        f" {shape.payload_bytes} bytes in {STEADY_S:.0f} s:"
        f" mean {statistics.mean(rates):.0f} max {max(rates):.0f}"
    )


def _measure_calls(nodes: int) -> None:
    fleet = SpreadEvents(Shape(nodes))
    watchers = len(fleet.watchers())
    entries = [node.entry for node in fleet.nodes_by_host.values()]
    data_centres = {entry.data_centre for entry in entries}
    pollers = sum(
        len(elected_hosts("poll_hosts", each, entries)) for each in data_centres
    )
    watches = watchers * (1 / WATCH_TIMEOUT_S + CHANGES_A_DAY / DAY_S)
    polls = pollers / HOSTS_INTERVAL_S
    print(
        f"{nodes} nodes: {watchers} watchers, {pollers} pollers,"
        f" {watches + polls:.2f} platform calls a second"
    )


def _bytes(fleet: SpreadEvents) -> list[int]:
    return [n.sent_bytes + n.received_bytes for n in fleet.nodes_by_host.values()]


def _report(
    text: str,
    fleet: SpreadEvents,
    version: int,
    since: float,
    nodes: list[Node] | None = None,
) -> None:
    found = nodes or list(fleet.nodes_by_host.values())
    times = [
        node.in_force_at_by_version[version] - since
        for node in found
        if version in node.in_force_at_by_version
    ]
    p50 = statistics.median(times) * 1000
    print(
        f"{text}: in force at {len(times)} of {len(found)},"
        f" p50 {p50:.0f} ms, max {max(times) * 1000:.0f} ms"
    )


if __name__ == "__main__":
    main()
