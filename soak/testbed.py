"""Gateways as processes, with the proxies and stand-ins around them."""

from __future__ import annotations

import contextlib
import math
import time
from contextlib import AsyncExitStack, asynccontextmanager
from signal import SIGTERM, Signals
from typing import TYPE_CHECKING

import anyio
import anyio.to_thread

from soak.proxy import Fault, Proxy
from soak.types import Change
from standins.fleet import Fleet
from standins.users_platform.processes import start_gateway
from standins.users_platform.serving import listening
from standins.users_platform.world import MODEL, World, configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator
    from pathlib import Path

TIMEOUT_MS = 6000
EVENTS = 40
LONGEST_STOP_S = 20.0


class Scene:
    """Hold what the troubles act on and what the checks need."""

    def __init__(self, world: World, fleet: Fleet) -> None:
        self.world = world
        self.fleet = fleet
        self.store_proxies_by_gateway: dict[str, Proxy] = {}
        self.endpoint_proxies_by_name: dict[str, Proxy] = {}
        self.ports_by_endpoint: dict[str, int] = {}
        self.changes: list[Change] = []
        self.exits: list[str] = []
        self.weights_version = 1
        self._restarts_by_gateway: dict[str, anyio.Lock] = {}
        self._log_lengths_by_gateway: dict[str, int] = {}
        self._undisturbed_since_by_gateway: dict[str, float] = {}
        self._disturbances_by_gateway: dict[str, int] = {}

    @property
    def gateways(self) -> tuple[str, ...]:
        """Return the names of all gateways."""
        return tuple(self.store_proxies_by_gateway)

    @property
    def path_version(self) -> int:
        """Return the version of the path that is in force or will be."""
        return self.changes[-1].path_version

    def undisturbed_since(self, gateway: str) -> float:
        """Return since when nothing has disturbed a gateway, infinite if it is now."""
        if self._disturbances_by_gateway.get(gateway):
            return math.inf
        return self._undisturbed_since_by_gateway.get(gateway, 0.0)

    @contextlib.contextmanager
    def disturbing(self, *gateways: str) -> Iterator[None]:
        """Note that gateways are disturbed while the context lasts."""
        counts = self._disturbances_by_gateway
        for each in gateways:
            counts[each] = counts.get(each, 0) + 1
        try:
            yield
        finally:
            for each in gateways:
                counts[each] -= 1
                self._undisturbed_since_by_gateway[each] = time.monotonic()

    def signal(self, gateway: str, number: Signals) -> None:
        """Send a signal to a gateway that runs."""
        process = self.fleet.processes_by_name.get(gateway)
        if process is not None:
            process.send_signal(number)

    async def restart(
        self, gateway: str, number: Signals, down_s: float, signals: int = 1
    ) -> None:
        """End a gateway by signals, start it after a while, note an unclean exit."""
        async with self._restarts_by_gateway.setdefault(gateway, anyio.Lock()):
            process = self.fleet.processes_by_name.pop(gateway)
            began = self.has_begun(gateway)
            for _ in range(signals):
                process.send_signal(number)
            status = await anyio.to_thread.run_sync(process.wait, LONGEST_STOP_S)
            # Until the program runs, the signal ends its interpreter.
            expected = 0 if began and number is SIGTERM else -number
            if status != expected:
                self.exits.append(f"{gateway}: exit status {status} after {number!r}")
            await anyio.sleep(down_s)
            self._log_lengths_by_gateway[gateway] = len(self.fleet.log(gateway))
            self.fleet.restart(gateway)

    def has_begun(self, gateway: str) -> bool:
        """Say whether a gateway's program has begun to run since its last start."""
        log = self.fleet.log(gateway)[self._log_lengths_by_gateway.get(gateway, 0) :]
        return "gateway: started" in log

    def note_exits(self) -> None:
        """Note gateways that ended by themselves."""
        for gateway in self.gateways:
            process = self.fleet.processes_by_name.get(gateway)
            if process is not None and process.poll() is not None:
                self.exits.append(f"{gateway}: exit status {process.returncode}")

    def change_configuration(self) -> None:
        """Move the path of one route, as an operator would."""
        version = len(self.changes) + 1
        changed = configuration(version)
        for route in changed["Routes"]:
            route["TimeoutMs"] = TIMEOUT_MS
        changed["Routes"][0]["PathPrefix"] = f"/look-{version}/"
        self.world.store.put("config", "main", changed)
        self.changes.append(Change(version, time.monotonic()))

    def name_weights(self) -> None:
        """Name new weights, as an operator would."""
        self.weights_version += 1
        value = {"Model": MODEL, "Version": self.weights_version}
        self.world.store.put("versions", MODEL, value)

    def list_endpoint(self, name: str, state: str = "ready", lives: int = 0) -> None:
        """Write an endpoint's entry as it would itself."""
        endpoint = next(e for e in self.world.endpoints() if e.name == name)
        entry = endpoint.entry(self.ports_by_endpoint[name])
        entry |= {"State": state, "born": entry["born"] + lives}
        self.world.store.put("servers", name, entry)


@asynccontextmanager
async def scene(folder: Path, gateways: int) -> AsyncIterator[Scene]:
    """Run gateways and what surrounds them while the context lasts."""
    found = Scene(World(), Fleet(folder))
    world = found.world
    async with AsyncExitStack() as stack:
        for endpoint in world.endpoints():
            endpoint.event_count = EVENTS
            proxy = Proxy()
            proxy.target_port = await stack.enter_async_context(
                listening(endpoint.serve)
            )
            port = await stack.enter_async_context(listening(proxy.serve))
            found.endpoint_proxies_by_name[endpoint.name] = proxy
            found.ports_by_endpoint[endpoint.name] = port
            found.list_endpoint(endpoint.name)
        found.change_configuration()
        store_port = await stack.enter_async_context(listening(world.store.serve))
        try:
            for number in range(gateways):
                proxy = Proxy()
                proxy.target_port = store_port
                port = await stack.enter_async_context(listening(proxy.serve))
                name = f"gateway-{number}"
                found.store_proxies_by_gateway[name] = proxy
                start_gateway(found.fleet, name, port)
            yield found
        finally:
            found.fleet.kill_all()


def calm(found: Scene) -> None:
    """End all faults of the proxies and the stand-ins."""
    proxies = (found.store_proxies_by_gateway, found.endpoint_proxies_by_name)
    for each in proxies:
        for proxy in each.values():
            proxy.fault = Fault.NONE
    found.world.store.down = False
    for endpoint in found.world.endpoints():
        endpoint.faults.clear()
