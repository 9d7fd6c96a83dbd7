"""Fake platform, engines and sidecars in one process with a virtual clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import anyio
import anyio.lowlevel

from agatehoist.configuration import EndpointRules, FleetConfiguration, Model, Orders
from agatehoist.core.clock import ManualClock
from agatehoist.endpoints.errors import EndpointNotReachedError
from agatehoist.endpoints.types import EndpointStatus
from agatehoist.orders.errors import OrderRefusedError
from agatehoist.orders.kinds import NAMES_BY_ORDER_CLASS
from agatehoist.orders.types import Ledger, Report
from agatehoist.settings.convert import make_converter
from agatehoist.settings.types import (
    Address,
    EndpointSettings,
    NodeSettings,
    PlatformSettings,
    SidecarSettings,
)
from agatehoist.sidecar.orders import Reconciler
from agatehoist.sidecar.state import SidecarState
from agatehoist.storage.errors import (
    ConflictError,
    ObjectNotFoundError,
    PlatformUnavailableError,
)
from agatehoist.storage.types import HostEntry, StoredObject
from standins.engine.model import Engine, Speed
from standins.engine.orders import OrderError, OrderHandler, WeightsError
from standins.platform.store import Store, VersionConflict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from agatehoist.orders.clients import OrderClient
    from agatehoist.orders.kinds import Order
    from agatehoist.storage.budget import Purpose
    from agatehoist.storage.client import PlatformClient

MODEL = "songs-8b"

converter = make_converter()


class FakePlatform:
    """Keep objects in memory; can be down or lose the answers to writes."""

    def __init__(self, hosts: tuple[str, ...]) -> None:
        self.store = Store()
        self.down = False
        self.lost_answers = 0
        self.writes = 0
        self.after_get: Callable[[str], None] = lambda kind: None
        self._hosts = hosts

    async def get(self, kind: str, name: str, _purpose: Purpose) -> StoredObject:
        self._require_up()
        found = self.store.get(kind, name)
        self.after_get(kind)
        if found is None:
            raise ObjectNotFoundError(name)
        return StoredObject(kind, name, *found)

    async def put(
        self, kind: str, name: str, value: Any, version: int, _purpose: Purpose
    ) -> StoredObject:
        self._require_up()
        self.writes += 1
        try:
            written = self.store.put(kind, name, value, version)
        except VersionConflict as error:
            raise ConflictError(name) from error
        if self.lost_answers:
            self.lost_answers -= 1
            raise PlatformUnavailableError("answer lost")
        return StoredObject(kind, name, written, value)

    async def hosts(self) -> tuple[HostEntry, ...]:
        self._require_up()
        return tuple(
            HostEntry(host, "127.0.0.1", 1, "dc1", "coast", "engine", MODEL)
            for host in self._hosts
        )

    def ledger(self) -> Ledger:
        found = self.store.get("orders", "weight-loads")
        return converter.structure(found[1], Ledger) if found else Ledger()

    def _require_up(self) -> None:
        if self.down:
            raise PlatformUnavailableError("down")


class FakeEngine:
    """Carry out orders at once; can delay an order or stop answering."""

    def __init__(self, fencing: bool = False) -> None:
        self.engine = Engine(MODEL, 16, Speed())
        self.order_handler = OrderHandler(self.engine, fencing, self._load)
        self.down = False
        self.before_accepting: Callable[[], Awaitable[None]] | None = None

    async def report(self) -> Report:
        if self.down:
            raise EndpointNotReachedError("down")
        return converter.structure(self.order_handler.report(), Report)

    async def status(self) -> EndpointStatus:
        return EndpointStatus(self.engine.incarnation, self.engine.weights_version)

    async def send(self, order: Order, fencing_number: int, valid_until: float) -> None:
        if self.before_accepting is not None:
            await self.before_accepting()
        body = {
            "order": NAMES_BY_ORDER_CLASS[type(order)],
            "fields": converter.unstructure(order),
            "fencing_number": fencing_number,
        }
        try:
            self.order_handler.accept(body)
        except OrderError as error:
            raise OrderRefusedError(str(error)) from error
        await self.order_handler.execute(body)

    async def aclose(self) -> None:
        """Do nothing."""

    async def _load(self, version: str) -> None:
        if version.startswith("bad"):
            raise WeightsError("bad version")


@dataclass
class FakeSidecar:
    """Hold a sidecar's state and its reconciler."""

    state: SidecarState
    reconciler: Reconciler


class FakeFleet:
    """Run sidecars against one platform and one virtual clock."""

    def __init__(
        self, task_group: TaskGroup, hosts: tuple[str, ...], fencing: bool
    ) -> None:
        self.clock = ManualClock(100.0)
        self.platform = FakePlatform(hosts)
        self.fencing = fencing
        self.configuration = FleetConfiguration()
        self.task_group = task_group
        self.configure("1")

    def configure(
        self,
        weights_version: str,
        endpoints_by_host: dict[str, EndpointRules] | None = None,
        **fields: Any,
    ) -> None:
        """Put the next configuration revision in force."""
        model = Model(32768, weights_version, **fields)
        self.configuration = FleetConfiguration(
            self.configuration.revision + 1,
            models_by_name={MODEL: model},
            endpoint=EndpointRules(checks_fencing=self.fencing),
            endpoints_by_host=endpoints_by_host or {},
            orders=Orders(capacity_floor=0.0),
        )

    async def start_sidecar(self, host: str, engine: FakeEngine) -> FakeSidecar:
        """Start a sidecar beside an engine."""
        address = Address("127.0.0.1", 1)
        settings = SidecarSettings(
            NodeSettings(host, "dc1", "coast"),
            address,
            address,
            PlatformSettings(""),
            EndpointSettings("engine", "", MODEL),
        )
        state = SidecarState(settings, engine, self.clock, self.task_group)  # type: ignore[arg-type]
        state.set_status(await engine.status())
        reconciler = Reconciler(
            state,
            cast("PlatformClient", self.platform),
            cast("OrderClient", engine),
            lambda: self.configuration,
            self.sleep,
        )
        return FakeSidecar(state, reconciler)

    async def sleep(self, delay: float) -> None:
        """Advance the clock."""
        self.clock.advance_to(self.clock.now() + delay)
        await anyio.lowlevel.checkpoint()
