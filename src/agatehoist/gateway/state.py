"""What a gateway holds while it runs; all of it can be lost."""

from __future__ import annotations

import itertools
import math
import random
from typing import TYPE_CHECKING, Any

from agatehoist.attempts.budget import WindowBudget
from agatehoist.attempts.suspicion import Suspects
from agatehoist.cache.kept import KeptParts
from agatehoist.core.identity import AttemptId, new_incarnation
from agatehoist.core.inflight import InFlight
from agatehoist.core.wakeup import Wakeup
from agatehoist.fleet.health import Health
from agatehoist.fleet.load import Load
from agatehoist.fleet.view import EndpointsView
from agatehoist.gateway.drivers import Drivers
from agatehoist.gateway.tasks import guarded
from agatehoist.http1.pool import Pool
from agatehoist.http1.types import ConnectionLimits
from agatehoist.observability.logs import get_logger
from agatehoist.weights.view import WeightsView

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from anyio.abc import TaskGroup

    from agatehoist.core.address import Address
    from agatehoist.core.clock import Clock
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.settings import GatewaySettings
    from agatehoist.gateway.types import Platform
    from agatehoist.http1.server import ServerConnection
    from agatehoist.routing.types import RoutingTable
    from agatehoist.storage.objects import ObjectStore
    from agatehoist.weights.types import SeenPlan

logger = get_logger("gateway")

# The slack for repeats is shared by all nodes; until they are counted, by so many.
NODES_ASSUMED = 8
# What the nodes keep back together for those that aren't counted yet.
SLACK_SHARE = 0.9
# Arrivals are counted where they arrive, a little after they were sent.
WINDOW_MARGIN_S = 0.5


class GatewayState:
    """Hold the beliefs, the counters and the connections of a gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        platform: Platform,
        store: ObjectStore,
        task_group: TaskGroup,
        slack_from: float,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.started_at = clock.now()
        self.platform = platform
        self.store = store
        store.relays = self.peers
        self._task_group = task_group
        self.table: RoutingTable | None = None
        self.table_at = 0.0
        self.fleet = EndpointsView()
        self.weights = WeightsView()
        self.load_changed = Wakeup()
        self.load = Load(self.load_changed.set)
        self.nodes: frozenset[Address] = frozenset()
        self.health = Health()
        self.kept_parts = KeptParts()
        self.suspects = Suspects()
        self.pool = Pool(clock)
        self._heard_at_by_lifetime: dict[str, float] = {}
        self.in_flight = InFlight()
        self.drivers = Drivers()
        self.leaving = False
        self.stops_at = math.inf
        self.ordering: set[str] = set()
        self.idle_connections: set[ServerConnection] = set()
        self.rng = random.Random()
        self.incarnation = new_incarnation()
        self.work = Wakeup()
        self._sequence = itertools.count(1)
        self._budgets_by_service: dict[str, WindowBudget] = {}
        self._slack_from = slack_from
        self._node_count = NODES_ASSUMED

    @property
    def ready(self) -> bool:
        """Say whether callers may be sent here."""
        return not self.leaving and self.table is not None and bool(self.fleet.revision)

    def see_plan(self, seen: SeenPlan) -> None:
        """Take a plan and what it tells of the endpoints."""
        if not self.weights.accept_plan(seen):
            return
        plan = seen.plan
        for endpoint in tuple(self.fleet.by_name.values()):
            if endpoint.lifetime in plan.changed:
                self.fleet.note_version(endpoint, plan.model, plan.target)
        logger.info(
            "plan seen",
            model=plan.model,
            holder=plan.holder,
            target=plan.target,
            changing=plan.changing,
            revision=seen.revision,
        )
        self.drivers.consider_moves()
        self.work.set()

    def next_attempt_id(self) -> AttemptId:
        """Return a new name for an attempt."""
        return AttemptId(self.incarnation, next(self._sequence))

    def limits(self) -> ConnectionLimits:
        """Return what bounds callers now."""
        return self.table.limits if self.table is not None else ConnectionLimits()

    def spawn(self, run: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Start a task that may outlast its request; a fault ends it alone."""
        self._task_group.start_soon(guarded, run, *arguments)

    def note_heard(self, endpoint: Endpoint) -> None:
        """Note a sign of life."""
        self._heard_at_by_lifetime[endpoint.lifetime] = self.clock.now()

    def silent_for_s(self, endpoint: Endpoint) -> float:
        """Return how long ago an endpoint was heard, without end if never."""
        heard_at = self._heard_at_by_lifetime.get(endpoint.lifetime, -math.inf)
        return self.clock.now() - heard_at

    def forget(self, gone: Iterable[Endpoint]) -> None:
        """Forget endpoints that have gone."""
        for endpoint in gone:
            self._heard_at_by_lifetime.pop(endpoint.lifetime, None)
            self.pool.forget(endpoint.lifetime)

    def suspect(self, endpoint: Endpoint, reason: str) -> None:
        """Leave a silent endpoint out for a while."""
        now = self.clock.now()
        if not self.suspects.is_suspected(endpoint.name, now):
            logger.info("endpoint suspected", endpoint=endpoint.lifetime, reason=reason)
        self.suspects.note_silence(endpoint.name, now)

    def set_settings(self, settings: GatewaySettings) -> None:
        """Take changed settings; addresses to listen on hold until the next start."""
        self.settings = settings
        self.store.move(settings.store.host, settings.store.port)
        for budget in self._budgets_by_service.values():
            budget.set_slack(self._slack())

    def peers(self) -> frozenset[Address]:
        """Return the addresses of the other nodes."""
        return (self.nodes | set(self.settings.seeds)) - {self.settings.inner}

    def set_nodes(self, nodes: frozenset[Address]) -> None:
        """Take the nodes, which share the slack for repeats and tell their load."""
        self.nodes = nodes
        count = max(1, len(nodes))
        if count == self._node_count:
            return
        logger.info("nodes counted", count=count, before=self._node_count)
        self._node_count = count
        for budget in self._budgets_by_service.values():
            budget.set_slack(self._slack())

    def budget(self, service: str) -> WindowBudget:
        """Return this node's share of the repeats to a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            bounds = self.settings.retries
            budget = WindowBudget(
                self.clock,
                bounds.ratio,
                self._slack(),
                bounds.window_s + WINDOW_MARGIN_S,
                self._slack_from,
            )
            self._budgets_by_service[service] = budget
        return budget

    def _slack(self) -> float:
        return SLACK_SHARE * self.settings.retries.slack / self._node_count
