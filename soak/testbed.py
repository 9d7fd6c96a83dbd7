"""Gateway processes, and the proxies and stand-ins that they connect to."""

from __future__ import annotations

import contextlib
import math
import time
from contextlib import AsyncExitStack, asynccontextmanager
from signal import SIGTERM, Signals
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread

from soak.proxy import EndpointFront, Fault, Proxy
from soak.types import (
    Arrival,
    ConfigurationChange,
    EndpointRecords,
    ReceivedOrder,
    StatementPeriod,
)
from standins.fleet import Fleet
from standins.users_platform.endpoint_listener import run_endpoint
from standins.users_platform.harness import MODEL, GatewayHarness, configuration
from standins.users_platform.loopback import listen_on_loopback
from standins.users_platform.processes import start_gateway

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Iterator
    from pathlib import Path

    from standins.users_platform.endpoint import Crash, EndpointStandIn
    from standins.users_platform.store import StoreCopy

ROUTE_TIMEOUT_MS = 6000
STREAM_EVENT_COUNT = 40
STOP_TIMEOUT_S = 20.0


class Testbed:
    """Hold the processes, proxies and stand-ins, and record what the checks need.

    Only the stand-ins of the harness are used, not its gateway.
    """

    def __init__(self, harness: GatewayHarness, fleet: Fleet) -> None:
        self.harness = harness
        self.fleet = fleet
        self.store_proxies_by_gateway: dict[str, Proxy] = {}
        self.endpoint_proxies_by_name: dict[str, Proxy] = {}
        self.ports_by_endpoint: dict[str, int] = {}
        self.changes: list[ConfigurationChange] = []
        self.unexpected_exits: list[str] = []
        self.statement_periods: list[StatementPeriod] = []
        # The endpoints that leave at the moment, by their entries or by their answers.
        self.leaving_endpoints: set[str] = set()
        self.weights_version = 1
        self._restart_locks_by_gateway: dict[str, anyio.Lock] = {}
        self._log_offsets_by_gateway: dict[str, int] = {}
        self._fault_free_since_by_gateway: dict[str, float] = {}
        self._active_faults_by_gateway: dict[str, int] = {}

    @property
    def crashes(self) -> list[Crash]:
        """Return the crashes of all endpoints."""
        return [crash for each in self.harness.endpoints() for crash in each.crashes]

    def endpoint_records(self) -> EndpointRecords:
        """Return what the endpoints have said and received."""
        endpoints = self.harness.endpoints()
        return EndpointRecords(
            tuple(self.statement_periods),
            tuple(
                Arrival(each.name, request_id, at)
                for each in endpoints
                for at, request_id in zip(each.arrivals, each.arrival_ids, strict=True)
            ),
            tuple(
                ReceivedOrder(at, order["Holder"], order["FencingToken"])
                for each in endpoints
                for at, order in zip(each.order_times, each.orders, strict=True)
            ),
        )

    async def restore_store(self, copied: StoreCopy, wait_s: float) -> None:
        """Let the store come back from a copy, and its writers write again."""
        store = self.harness.store
        written = {
            (kind, name): store.spec(kind, name)
            for kind in ("config", "versions", "servers")
            for name in store.objects_by_kind.get(kind, {})
        }
        store.restore(copied)
        await anyio.sleep(wait_s)
        for (kind, name), spec in written.items():
            # Something newer may have been written meanwhile.
            age = "born" if kind == "servers" else "Version"
            if (store.spec(kind, name) or spec)[age] <= spec[age]:
                store.put(kind, name, spec)

    @property
    def gateways(self) -> tuple[str, ...]:
        """Return the names of all gateways."""
        return tuple(self.store_proxies_by_gateway)

    @property
    def path_version(self) -> int:
        """Return the number in the latest acknowledged configuration's lookup path."""
        return self.changes[-1].path_version

    def fault_free_since(self, gateway: str) -> float:
        """Return when a gateway's last fault ended (s); infinite during a fault."""
        if self._active_faults_by_gateway.get(gateway):
            return math.inf
        return self._fault_free_since_by_gateway.get(gateway, 0.0)

    @contextlib.contextmanager
    def recording_fault(self, *gateways: str) -> Iterator[None]:
        """Record that gateways have a fault while the context lasts."""
        counts = self._active_faults_by_gateway
        for each in gateways:
            counts[each] = counts.get(each, 0) + 1
        try:
            yield
        finally:
            for each in gateways:
                counts[each] -= 1
                self._fault_free_since_by_gateway[each] = time.monotonic()

    def signal(self, gateway: str, signal_number: Signals) -> None:
        """Send a signal to a gateway; do nothing while it is down."""
        process = self.fleet.processes_by_name.get(gateway)
        if process is not None:
            process.send_signal(signal_number)

    async def restart(
        self, gateway: str, signal_number: Signals, down_s: float, signal_count: int = 1
    ) -> None:
        """Stop a gateway with signals, record an unexpected exit, then restart it."""
        async with self._restart_locks_by_gateway.setdefault(gateway, anyio.Lock()):
            process = self.fleet.processes_by_name.pop(gateway)
            started = self.has_started(gateway)
            for _ in range(signal_count):
                process.send_signal(signal_number)
            status = await anyio.to_thread.run_sync(process.wait, STOP_TIMEOUT_S)
            # Until the program has installed its handler, SIGTERM kills the process.
            expected = 0 if started and signal_number is SIGTERM else -signal_number
            if status != expected:
                self.unexpected_exits.append(
                    f"{gateway}: exit status {status} after {signal_number!r}"
                )
            await anyio.sleep(down_s)
            self._log_offsets_by_gateway[gateway] = len(self.fleet.log(gateway))
            self.fleet.restart(gateway)

    def has_started(self, gateway: str) -> bool:
        """Return whether a gateway's current process has logged that it started."""
        log = self.fleet.log(gateway)[self._log_offsets_by_gateway.get(gateway, 0) :]
        return "gateway: started" in log

    def record_unexpected_exits(self) -> None:
        """Record gateways that exited without a signal from the soak."""
        for gateway in self.gateways:
            process = self.fleet.processes_by_name.get(gateway)
            if process is not None and process.poll() is not None:
                self.unexpected_exits.append(
                    f"{gateway}: exit status {process.returncode}"
                )

    def change_configuration(self) -> None:
        """Write a configuration with another path prefix for one route."""
        version = len(self.changes) + 1
        changed = configuration(version)
        for route in changed["Routes"]:
            route["TimeoutMs"] = ROUTE_TIMEOUT_MS
        # The first route is the lookup route.
        changed["Routes"][0]["PathPrefix"] = f"/look-{version}/"
        self.harness.store.put("config", "main", changed)
        self.changes.append(ConfigurationChange(version, time.monotonic()))

    def publish_weights(self) -> None:
        """Write a newer weights version for the engines to load."""
        self.weights_version += 1
        value = {"Model": MODEL, "Version": self.weights_version}
        self.harness.store.put("versions", MODEL, value)

    def choose_leaver(self, rng: random.Random) -> EndpointStandIn | None:
        """Return an endpoint that isn't leaving, or None if all are."""
        endpoints = self.harness.endpoints()
        staying = [e for e in endpoints if e.name not in self.leaving_endpoints]
        return rng.choice(staying) if staying else None

    def publish_endpoint(self, name: str, state: str = "ready") -> None:
        """Write an endpoint's store entry."""
        endpoint = next(e for e in self.harness.endpoints() if e.name == name)
        entry = endpoint.entry(self.ports_by_endpoint[name])
        entry["State"] = state
        self.harness.store.put("servers", name, entry)


@asynccontextmanager
async def run_testbed(folder: Path, gateways: int) -> AsyncIterator[Testbed]:
    """Run the gateways, proxies and stand-ins while the context lasts."""
    testbed = Testbed(GatewayHarness(), Fleet(folder))
    harness = testbed.harness
    async with AsyncExitStack() as stack:
        for endpoint in harness.endpoints():
            endpoint.event_count = STREAM_EVENT_COUNT
            name = endpoint.name
            proxy = Proxy()
            front = EndpointFront(proxy, endpoint)
            port = await stack.enter_async_context(run_endpoint(front, lambda _: None))
            testbed.endpoint_proxies_by_name[name] = proxy
            testbed.ports_by_endpoint[name] = port
            # Gateways are told the port of the proxy in place of the endpoint's own.
            proxy.target_port = await stack.enter_async_context(
                run_endpoint(
                    endpoint, lambda _, name=name: testbed.publish_endpoint(name)
                )
            )
        testbed.change_configuration()
        store_port = await stack.enter_async_context(
            listen_on_loopback(harness.store.serve)
        )
        try:
            for number in range(gateways):
                proxy = Proxy()
                proxy.target_port = store_port
                port = await stack.enter_async_context(listen_on_loopback(proxy.serve))
                name = f"gateway-{number}"
                testbed.store_proxies_by_gateway[name] = proxy
                start_gateway(testbed.fleet, name, port)
            yield testbed
        finally:
            testbed.fleet.kill_all()


def clear_faults(testbed: Testbed) -> None:
    """Clear all faults of the proxies and the stand-ins."""
    proxies = (testbed.store_proxies_by_gateway, testbed.endpoint_proxies_by_name)
    for each in proxies:
        for proxy in each.values():
            proxy.fault = Fault.NONE
    testbed.harness.store.down = False
    for each in testbed.harness.endpoints():
        each.limit_per_s, each.pause_s, each.is_leaving = None, None, False
    testbed.harness.deadly_parts.clear()
    for endpoint in testbed.harness.endpoints():
        endpoint.faults.clear()
