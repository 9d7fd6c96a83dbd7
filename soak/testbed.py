"""Gateway processes, and the proxies and stand-ins that they connect to."""

from __future__ import annotations

import contextlib
import math
import time
from contextlib import AsyncExitStack, asynccontextmanager
from signal import SIGTERM, Signals
from typing import TYPE_CHECKING, Any

import anyio
import anyio.to_thread

from agatehoist.core.units import MS_PER_S
from soak.configurations import (
    MODELS,
    STREAMED_ROUTES,
    changed_configuration,
    sound_configuration,
)
from soak.proxy import EndpointFront, Fault, Proxy
from soak.types import (
    USUAL_EVENT_COUNT,
    Arrival,
    ConfigurationChange,
    DeadlyRequest,
    EndedRun,
    EndpointRecords,
    GatewayRecords,
    Period,
    ReceivedOrder,
    Service,
    SoakRecord,
    StatementPeriod,
)
from standins.fleet import Fleet
from standins.users_platform.endpoint import EVENT_INTERVAL_S, RequestIdentity
from standins.users_platform.endpoint_listener import run_endpoint
from standins.users_platform.harness import GatewayHarness
from standins.users_platform.loopback import listen_on_loopback
from standins.users_platform.processes import start_gateway
from standins.users_platform.store import RawJson

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Iterator, Sequence
    from pathlib import Path
    from subprocess import Popen

    from soak.types import LaterSignal, RequestResult
    from standins.users_platform.endpoint import Crash, EndpointStandIn
    from standins.users_platform.store import StoreCopy

# Streams that last up to the grace of a stop and longer.
LONG_EVENT_COUNTS = range(100, 900)
EXPECTED_STREAM = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, LONG_EVENT_COUNTS.stop)
)
# The organisation of the callers.
ORGANISATION = "crew"
STOP_TIMEOUT_S = 20.0
ENGINE_COUNT = 3
# Share of the engines whose streams have neither length nor chunks after a release.
UNFRAMED_SHARE = 0.3


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
        self.gateway_faults: list[Period] = []
        self.kills: list[Period] = []
        self.stops: list[Period] = []
        self.suspensions: list[Period] = []
        self.path_faults: list[Period] = []
        self.silences: list[Period] = []
        # Those that callers send at the moment.
        self.deadly_requests: list[DeadlyRequest] = []
        # The endpoints that leave at the moment, by their entries or by their answers.
        self.leaving_endpoints: set[str] = set()
        # Those whose entries say so.
        self.draining_endpoints: set[str] = set()
        self.weights_version = 1
        # Engines that don't run: they may start with another software version.
        self.retired_engines: set[str] = set()
        self.software_number = 1
        self.down: list[Period] = []
        self._services: list[Service] = []
        self._service_begins: dict[str, tuple[str, float]] = {}
        self._restart_locks_by_gateway: dict[str, anyio.Lock] = {}
        self._log_offsets_by_gateway: dict[str, int] = {}
        self._fault_free_since_by_gateway: dict[str, float] = {}
        self._active_faults_by_gateway: dict[str, int] = {}

    @property
    def crashes(self) -> list[Crash]:
        """Return the crashes of all endpoints."""
        return [crash for each in self.harness.endpoints() for crash in each.crashes]

    def record(self, results: Sequence[RequestResult]) -> SoakRecord:
        """Return all that was observed."""
        return SoakRecord(
            results,
            self.harness.runs(),
            self.changes,
            EXPECTED_STREAM,
            self.crashes,
            self._endpoint_records(),
            GatewayRecords(
                tuple(self.gateway_faults),
                tuple(self.kills),
                tuple(self.stops),
                tuple(self.suspensions),
                tuple(self.down),
            ),
        )

    def _endpoint_records(self) -> EndpointRecords:
        endpoints = self.harness.endpoints()
        return EndpointRecords(
            tuple(self.statement_periods),
            tuple(
                Arrival(each.name, request_id, at)
                for each in endpoints
                for at, request_id in zip(each.arrivals, each.arrival_ids, strict=True)
            ),
            tuple(
                ReceivedOrder(at, order["Holder"], order["FencingToken"], each.name)
                for each in endpoints
                for at, order in zip(each.order_times, each.orders, strict=True)
            ),
            tuple(
                EndedRun(each.name, end) for each in endpoints for end in each.run_ends
            ),
            # The proxy of an endpoint that crashes drops what it hasn't passed on.
            (
                *self.path_faults,
                *(
                    Period(each.name, crash.at, crash.at)
                    for each in endpoints
                    for crash in each.crashes
                ),
            ),
            tuple(self.silences),
            (*self._services, *map(self._service, self._service_begins)),
            tuple(
                Period(each.name, *period)
                for each in endpoints
                for period in each.busy_periods
            ),
        )

    async def restore_store(self, copied: StoreCopy, wait_s: float) -> None:
        """Let the store come back from a copy, and its writers write again."""
        store = self.harness.store
        written = {
            (kind, name): store.spec(kind, name)
            for kind in ("config", "versions", "servers")
            for name in store.objects_by_kind.get(kind, {})
            if not isinstance(store.spec(kind, name), RawJson)
        }
        store.restore(copied)
        await anyio.sleep(wait_s)
        for (kind, name), spec in written.items():
            # Something newer may have been written meanwhile.
            age = "born" if kind == "servers" else "Version"
            if (store.spec(kind, name) or spec)[age] <= spec[age]:
                store.put(kind, name, spec)
        # An odd entry, or an engine, may have been removed since the copy was made.
        for name in tuple(store.objects_by_kind.get("servers", {})):
            is_odd = isinstance(store.spec("servers", name), RawJson)
            if is_odd or name in self.retired_engines:
                store.remove("servers", name)

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
        began_at = time.monotonic()
        try:
            yield
        finally:
            ended_at = time.monotonic()
            for each in gateways:
                counts[each] -= 1
                self._fault_free_since_by_gateway[each] = ended_at
                self.gateway_faults.append(Period(each, began_at, ended_at))

    @contextlib.contextmanager
    def recording(self, periods: list[Period], *names: str) -> Iterator[None]:
        """Add a period to a list for each of these while the context lasts."""
        began_at = time.monotonic()
        try:
            yield
        finally:
            ended_at = time.monotonic()
            periods += [Period(each, began_at, ended_at) for each in names]

    def signal(self, gateway: str, signal_number: Signals) -> None:
        """Send a signal to a gateway; do nothing while it is down."""
        process = self.fleet.processes_by_name.get(gateway)
        if process is not None:
            process.send_signal(signal_number)

    async def restart(
        self,
        gateway: str,
        signal_number: Signals,
        down_s: float,
        signal_count: int = 1,
        later_signals: Sequence[LaterSignal] = (),
    ) -> None:
        """Stop a gateway with signals, record an unexpected exit, then restart it."""
        async with self._restart_locks_by_gateway.setdefault(gateway, anyio.Lock()):
            process = self.fleet.processes_by_name.pop(gateway)
            # Until the program has installed its handler, SIGTERM kills the process.
            is_planned = signal_number is SIGTERM and self.has_started(gateway)
            began_at = time.monotonic()
            for _ in range(signal_count):
                process.send_signal(signal_number)
            async with anyio.create_task_group() as task_group:
                for each in later_signals:
                    task_group.start_soon(_send_later, process, each)
                status, ended_at = await anyio.to_thread.run_sync(_wait, process)
                task_group.cancel_scope.cancel()
            ended = Period(gateway, began_at, ended_at)
            (self.stops if is_planned else self.kills).append(ended)
            expected = 0 if is_planned else -signal_number
            if status != expected:
                self.unexpected_exits.append(
                    f"{gateway}: exit status {status} after {signal_number!r}"
                )
            await anyio.sleep(down_s)
            self._log_offsets_by_gateway[gateway] = len(self.fleet.log(gateway))
            self.fleet.restart(gateway)
            self.down.append(Period(gateway, began_at, time.monotonic()))

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

    def change_configuration(self, rng: random.Random | None = None) -> None:
        """Write a configuration with another path prefix for one route.

        With a generator, other things change too, until the next configuration.
        """
        version = len(self.changes) + 1
        document = (
            changed_configuration(version, rng) if rng else sound_configuration(version)
        )
        self.harness.store.put("config", "main", document)
        now = time.monotonic()
        timeouts_s = (_shortest_timeout_s(document, flag) for flag in (False, True))
        self.changes.append(ConfigurationChange(version, now, *timeouts_s))

    def add_deadly_request(self, request: DeadlyRequest) -> None:
        """Let a request crash endpoints, and callers send it."""
        self.deadly_requests.append(request)
        self.harness.deadly_requests.add(_identity(request))

    def remove_deadly_request(self, request: DeadlyRequest) -> None:
        """Let a request crash no more endpoints."""
        self.deadly_requests.remove(request)
        self.harness.deadly_requests.discard(_identity(request))

    def publish_weights(self) -> None:
        """Write a newer version of each model for the engines to load."""
        self.weights_version += 1
        for model in MODELS:
            value = {"Model": model, "Version": self.weights_version}
            self.harness.store.put("versions", model, value)

    def choose_leaver(self, rng: random.Random) -> EndpointStandIn | None:
        """Return an endpoint that isn't leaving, or None if all are."""
        endpoints = self.harness.endpoints()
        staying = [e for e in endpoints if e.name not in self.leaving_endpoints]
        return rng.choice(staying) if staying else None

    def publish_endpoint(self, name: str) -> None:
        """Write an endpoint's store entry, as at its start, unless it is retired."""
        if name in self.retired_engines:
            return
        endpoint = next(e for e in self.harness.endpoints() if e.name == name)
        entry = endpoint.entry(self.ports_by_endpoint[name])
        if name in self.draining_endpoints:
            entry["State"] = "draining"
        self.harness.store.put("servers", name, entry)
        self._note_service(endpoint)

    def _note_service(self, endpoint: EndpointStandIn) -> None:
        """Record since when an engine runs its software version and doesn't leave."""
        name = endpoint.name
        is_leaving = name in self.draining_endpoints
        software, _ = self._service_begins.get(name, ("", 0.0))
        if software and (is_leaving or software != endpoint.software):
            self._services.append(self._service(name))
            del self._service_begins[name]
        if endpoint.model and not is_leaving:
            begin = (endpoint.software, time.monotonic())
            self._service_begins.setdefault(name, begin)

    def _service(self, name: str) -> Service:
        software, began_at = self._service_begins[name]
        return Service(software, Period(name, began_at, time.monotonic()))

    def start_engines(self, rng: random.Random) -> list[EndpointStandIn]:
        """Start some engines that are retired with a new software version."""
        spare = [
            each
            for each in self.harness.engines
            if each.name in self.retired_engines and not each.crashed.is_set()
        ]
        started = rng.sample(spare, rng.randint(1, len(spare))) if spare else []
        self.software_number += 1
        for each in started:
            each.software = f"v{self.software_number}"
            each.change_weights(self.weights_version)
            each.versions_by_other_model = dict.fromkeys(
                each.versions_by_other_model, self.weights_version
            )
            self.set_framing(each, rng.random() < UNFRAMED_SHARE)
        return started

    def list_engine(self, engine: EndpointStandIn) -> None:
        """Let a started engine take requests."""
        self.retired_engines.discard(engine.name)
        engine.started_ms += 1
        self.publish_endpoint(engine.name)
        self.leaving_endpoints.discard(engine.name)

    def begin_drain(self, engine: EndpointStandIn) -> None:
        """Let an engine leave by its entry."""
        self.leaving_endpoints.add(engine.name)
        self.draining_endpoints.add(engine.name)
        self.publish_endpoint(engine.name)

    def retire(self, engine: EndpointStandIn) -> None:
        """End an engine that has drained, with what it still runs."""
        self.retired_engines.add(engine.name)
        self.draining_endpoints.discard(engine.name)
        # Another fault may have removed the entry meanwhile.
        if engine.name in self.harness.store.objects_by_kind.get("servers", {}):
            self.harness.store.remove("servers", engine.name)
        engine.crash()

    def set_framing(self, engine: EndpointStandIn, are_unframed: bool) -> None:
        """Let the next streams of an engine have neither length nor chunks, or not."""
        engine.are_unframed = are_unframed
        # A closed connection would end such a stream as complete.
        proxy = self.endpoint_proxies_by_name[engine.name]
        proxy.resets_when_down |= are_unframed

    @contextlib.contextmanager
    def draining(self, endpoint: EndpointStandIn) -> Iterator[None]:
        """Let an endpoint leave by its entry, and come back in another lifetime."""
        self.begin_drain(endpoint)
        try:
            yield
        finally:
            self.draining_endpoints.discard(endpoint.name)
            endpoint.started_ms += 1
            self.publish_endpoint(endpoint.name)
            self.leaving_endpoints.discard(endpoint.name)


def stream_path(route: str, event_count: int) -> str:
    """Return the path of a stream that has so many events."""
    return f"/{route}/{event_count}-events"


def _shortest_timeout_s(document: dict[str, Any], is_stream: bool) -> float:
    timeouts_ms = (
        each["TimeoutMs"]
        for each in document["Routes"]
        if (each["Name"] in STREAMED_ROUTES) == is_stream
    )
    return float(min(timeouts_ms) / MS_PER_S)


def _identity(request: DeadlyRequest) -> RequestIdentity:
    return RequestIdentity(request.method, request.path, ORGANISATION, request.body)


async def _send_later(process: Popen[bytes], later: LaterSignal) -> None:
    await anyio.sleep(later.after_s)
    process.send_signal(later.number)


def _wait(process: Popen[bytes]) -> tuple[int, float]:
    """Wait for the end of a process; return its exit status and the time."""
    return process.wait(STOP_TIMEOUT_S), time.monotonic()


@asynccontextmanager
async def run_testbed(
    folder: Path, gateways: int, spare_engines: int = 0
) -> AsyncIterator[Testbed]:
    """Run the gateways, proxies and stand-ins while the context lasts.

    Spare engines are retired at first.
    """
    harness = GatewayHarness(ENGINE_COUNT + spare_engines, MODELS)
    testbed = Testbed(harness, Fleet(folder))
    for engine in harness.engines[ENGINE_COUNT:]:
        testbed.retired_engines.add(engine.name)
        testbed.leaving_endpoints.add(engine.name)
    event_counts = {
        stream_path(route, count): count
        for route in STREAMED_ROUTES
        for count in LONG_EVENT_COUNTS
    }
    async with AsyncExitStack() as stack:
        for endpoint in harness.endpoints():
            endpoint.event_count = USUAL_EVENT_COUNT
            endpoint.event_counts_by_target = event_counts
            endpoint.marks_events = True
            name = endpoint.name
            proxy = Proxy()
            front = EndpointFront(proxy, endpoint)
            port = await stack.enter_async_context(run_endpoint(front, lambda _: None))
            testbed.endpoint_proxies_by_name[name] = proxy
            testbed.ports_by_endpoint[name] = port
            endpoint.listen_at(port, harness.kv_network)
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
            proxy.fault, proxy.is_paused = Fault.NONE, False
    testbed.harness.store.down = False
    for each in testbed.harness.endpoints():
        each.limit_per_s, each.pause_s, each.is_leaving = None, None, False
        each.event_interval_s = EVENT_INTERVAL_S
        each.faults.clear()
        each.move_faults.clear()
    testbed.harness.deadly_parts.clear()
    testbed.change_configuration()
