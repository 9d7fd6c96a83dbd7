"""Measure configuration propagation at the target fleet size by simulation."""

from __future__ import annotations

import statistics

from agatehoist.gossip.sources import HOST_LIST_POLL_INTERVAL_S
from agatehoist.membership.election import elected_hosts
from agatehoist.storage.client import WATCH_TIMEOUT_S
from bench.gossip_simulation import FleetParameters, GossipSimulation, Node

TARGET_NODES = 1590
WARM_UP_S = 10.0
DAY_S = 86_400
CHANGES_PER_DAY = 1400
HOST_LIST_CHANGES_PER_DAY = 3 * 282
STEADY_DURATION_S = 300.0
PARTITION_S = 120.0
ISOLATED_REGION = "region1"


def main() -> None:
    """Print propagation delays, gossip traffic and platform call rates."""
    for loss in (0.0, 0.05, 0.2):
        for seed in (1, 2):
            _measure_change(FleetParameters(TARGET_NODES, loss=loss, seed=seed))
    for seed in (1, 2):
        _measure_partition(FleetParameters(TARGET_NODES, loss=0.05, seed=seed))
    _measure_traffic(FleetParameters(TARGET_NODES, loss=0.01))
    for nodes in (100, 400, TARGET_NODES, 6400):
        _measure_platform_calls(nodes)


def _measure_change(parameters: FleetParameters) -> None:
    fleet = GossipSimulation(parameters)
    fleet.run_until(WARM_UP_S)
    fleet.publish(1)
    fleet.run_until(WARM_UP_S + 30)
    _report(f"loss {parameters.loss:.0%} seed {parameters.seed}", fleet, 1, WARM_UP_S)


def _measure_partition(parameters: FleetParameters) -> None:
    fleet = GossipSimulation(parameters)
    fleet.run_until(WARM_UP_S)
    fleet.isolated_regions = frozenset({ISOLATED_REGION})
    fleet.publish(1)
    fleet.run_until(WARM_UP_S + PARTITION_S)
    outside = [
        node
        for node in fleet.nodes_by_host.values()
        if node.entry.region != ISOLATED_REGION
    ]
    text = f"region cut, loss {parameters.loss:.0%} seed {parameters.seed}"
    _report(f"{text}, outside", fleet, 1, WARM_UP_S, outside)
    fleet.isolated_regions = frozenset()
    healed_at = fleet.now
    fleet.run_until(healed_at + 30)
    inside = [each for each in fleet.nodes_by_host.values() if each not in outside]
    _report(f"{text}, inside after the heal", fleet, 1, healed_at, inside)


def _measure_traffic(parameters: FleetParameters) -> None:
    fleet = GossipSimulation(parameters)
    fleet.run_until(WARM_UP_S)
    before = _traffic_bytes(fleet)
    changes = round(
        (CHANGES_PER_DAY + HOST_LIST_CHANGES_PER_DAY) / DAY_S * STEADY_DURATION_S
    )
    for version in range(1, changes + 1):
        fleet.publish(version)
        fleet.run_until(WARM_UP_S + version * STEADY_DURATION_S / changes)
    rates = [
        (after - earlier) / STEADY_DURATION_S
        for after, earlier in zip(_traffic_bytes(fleet), before, strict=True)
    ]
    print(
        f"bytes a second a node, both ways, {changes} changes of"
        f" {parameters.payload_bytes} bytes in {STEADY_DURATION_S:.0f} s:"
        f" mean {statistics.mean(rates):.0f} max {max(rates):.0f}"
    )


def _measure_platform_calls(nodes: int) -> None:
    fleet = GossipSimulation(FleetParameters(nodes))
    watchers = len(fleet.watchers())
    entries = [node.entry for node in fleet.nodes_by_host.values()]
    data_centres = {entry.data_centre for entry in entries}
    pollers = sum(
        len(elected_hosts("poll_hosts", each, entries)) for each in data_centres
    )
    watches = watchers * (1 / WATCH_TIMEOUT_S + CHANGES_PER_DAY / DAY_S)
    polls = pollers / HOST_LIST_POLL_INTERVAL_S
    print(
        f"{nodes} nodes: {watchers} watchers, {pollers} pollers,"
        f" {watches + polls:.2f} platform calls a second"
    )


def _traffic_bytes(fleet: GossipSimulation) -> list[int]:
    return [n.sent_bytes + n.received_bytes for n in fleet.nodes_by_host.values()]


def _report(
    text: str,
    fleet: GossipSimulation,
    version: int,
    since: float,
    nodes: list[Node] | None = None,
) -> None:
    measured_nodes = nodes or list(fleet.nodes_by_host.values())
    times = [
        node.in_force_at_by_version[version] - since
        for node in measured_nodes
        if version in node.in_force_at_by_version
    ]
    p50 = statistics.median(times) * 1000
    print(
        f"{text}: in force at {len(times)} of {len(measured_nodes)},"
        f" p50 {p50:.0f} ms, max {max(times) * 1000:.0f} ms"
    )


if __name__ == "__main__":
    main()
