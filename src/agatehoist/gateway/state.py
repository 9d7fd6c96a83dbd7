"""In-memory state of a gateway; none of it has to survive a restart."""

from __future__ import annotations

import itertools
import math
import random
import resource
from typing import TYPE_CHECKING, Any

from agatehoist.attempts.budget import WindowBudget
from agatehoist.attempts.suspicion import SuspicionTable
from agatehoist.cache.endpoint_parts import EndpointParts
from agatehoist.core.byte_budget import ByteBudget
from agatehoist.core.identity import AttemptId, new_incarnation
from agatehoist.core.inflight import InFlightCounter
from agatehoist.core.wakeup import Wakeup
from agatehoist.fleet.body_bytes import BodyBytes
from agatehoist.fleet.health import Health
from agatehoist.fleet.load import Load
from agatehoist.fleet.silence import Silences
from agatehoist.fleet.statements import EndpointStatements, Notice
from agatehoist.fleet.view import EndpointsView
from agatehoist.gateway.active_requests import ActiveRequests
from agatehoist.gateway.allotments import Allotments
from agatehoist.gateway.caller_connections import CallerConnections
from agatehoist.gateway.caller_limits import caller_limits
from agatehoist.gateway.peer_outbox import PeerOutbox
from agatehoist.gateway.placement_state import PlacementState
from agatehoist.gateway.room import EngineStates
from agatehoist.gateway.start_lines import StartLines
from agatehoist.gateway.store_feed import StoreFeed
from agatehoist.gateway.store_roles import StoreRole
from agatehoist.gateway.tasks import run_logging_exceptions
from agatehoist.gateway.watchers import elect_watchers
from agatehoist.http1.pool import ConnectionPool
from agatehoist.http1.types import ConnectionLimits
from agatehoist.limits.endpoint_permits import PermitHomes, PermitIssuer
from agatehoist.observability.logs import get_logger
from agatehoist.quarantine.trait_quarantine import TraitQuarantine
from agatehoist.quarantine.types import Answer, Crash, Quarantine
from agatehoist.software.journal_reader import JournalReader
from agatehoist.software.journal_writer import JournalWriter
from agatehoist.software.origins import OriginTable
from agatehoist.software.shares_view import SharesView
from agatehoist.stopping.state import StopState
from agatehoist.storage.revisions import NO_REVISION
from agatehoist.weights.view import WeightsView

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from anyio.abc import TaskGroup

    from agatehoist.admission.line import ReturnTimes
    from agatehoist.core.address import Address
    from agatehoist.core.clock import Clock
    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.settings import GatewaySettings
    from agatehoist.gateway.types import Platform
    from agatehoist.routing.types import RoutingTable
    from agatehoist.storage.objects import ObjectStore
    from agatehoist.weights.types import SeenPlan

logger = get_logger("gateway")

# The retry slack is divided among all nodes; this count holds until they are listed.
INITIAL_NODE_COUNT = 8
# Share of the slack that the listed nodes may use together; the rest is a reserve for
# nodes that aren't listed yet.
RETRY_SLACK_SHARE = 0.9
# Addresses beyond these are found by the regular poll.
MAX_UNLISTED_NODES = 64
# Nodes that a restored store has lost have registered again after this time; the slack
# isn't shared by fewer meanwhile.
LOST_NODES_KEPT_S = 30.0
# More news is dropped; crashes, quarantines and notices are repeated as they stand.
MAX_PENDING_EVIDENCE = 128
MAX_PENDING_NOTICES = 256
# Of all bodies that come from one side, from callers or from endpoints.
MAX_BODY_BYTES = 12 * 1024 * 1024
# Smaller bodies are read beside any others.
SMALL_BODY_BYTES = 64 * 1024
# Less is held for any caller that reads slowly.
SMALL_BACKLOG_BYTES = 16 * 1024
# Endpoints count retries on arrival, slightly later than this node sends them.
RETRY_WINDOW_MARGIN_S = 0.5


def body_budget(clock: Clock, max_open: int | None = None) -> ByteBudget:
    """Return a budget for the bodies that come from one side."""
    return ByteBudget(MAX_BODY_BYTES, SMALL_BODY_BYTES, clock, max_open)


def caller_connections(settings: GatewaySettings, clock: Clock) -> CallerConnections:
    """Return the connections of callers, limited by the machine of the process."""
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limits = caller_limits(settings.machine, descriptors)
    return CallerConnections(
        body_budget(clock, limits.max_open_bodies),
        ByteBudget(limits.max_backlog_bytes, SMALL_BACKLOG_BYTES, clock),
        limits.max_connections,
    )


class GatewayState:
    """Hold the known fleet, the counters and the connections of a gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        platform: Platform,
        store: ObjectStore,
        task_group: TaskGroup,
        retry_slack_available_at: float,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.started_at = clock.now()
        self.platform = platform
        self.store = store
        self._connect_store(store)
        self._task_group = task_group
        # The configuration in force, None until one has been read.
        self.table: RoutingTable | None = None
        self.table_loaded_at = 0.0
        self.statements = EndpointStatements()
        self.fleet = EndpointsView(self.statements)
        self.weights = WeightsView()
        self._begin_origins()
        self.load_changed = Wakeup()
        self.lines = StartLines(clock)
        self.load = Load(self._note_load_changed, self.lines.note_load_changed)
        self.parts = EndpointParts()
        self.placement = PlacementState()
        self.engine_states = EngineStates()
        self.body_bytes = BodyBytes()
        self._begin_nodes()
        # The nodes that watch the store for all, with their data centres.
        self.watchers: dict[Address, str] = {}
        self.feed = StoreFeed()
        self.health = Health()
        self.suspects = SuspicionTable()
        self.silences = Silences()
        self.quarantine = TraitQuarantine()
        self.evidence_outbox = PeerOutbox[Crash | Answer | Quarantine](
            MAX_PENDING_EVIDENCE
        )
        self.notice_outbox = PeerOutbox[Notice](MAX_PENDING_NOTICES)
        self.permit_issuer = PermitIssuer()
        self.permit_homes = PermitHomes()
        # For callers that are refused because all endpoints are at their limits.
        self.return_times_by_service: dict[str, ReturnTimes] = {}
        # The bodies of callers' requests don't count against those of replies.
        self.pool = ConnectionPool(clock, body_budget(clock))
        self._last_contact_at_by_lifetime: dict[str, float] = {}
        self.in_flight = InFlightCounter()
        self.active_requests = ActiveRequests()
        self.leaving = False
        self.stop = StopState()
        self.models_in_rollout: set[str] = set()
        self.caller_connections = caller_connections(settings, clock)
        self.rng = random.Random()
        self.incarnation = new_incarnation()
        self.rollout_wakeup = Wakeup()
        self.allotments = Allotments(self)
        self._sequence = itertools.count(1)
        self._begin_retry_budgets(retry_slack_available_at)

    def _begin_origins(self) -> None:
        self.shares = SharesView()
        self.origins = OriginTable()
        self.journal = JournalWriter(self)
        self.journal_reader = JournalReader(self)
        self.shares.on_accepted = self.journal.note_record

    def _begin_nodes(self) -> None:
        self.nodes: frozenset[Address] = frozenset()
        self._data_centres_by_node: dict[Address, str] = {}
        self._lost_nodes_kept_until = 0.0
        self.nodes_changed = Wakeup()
        # Set when a node sends that isn't listed yet.
        self.unlisted_node_seen = Wakeup()
        self._unlisted_nodes: set[Address] = set()
        self._node_count = INITIAL_NODE_COUNT

    def _begin_retry_budgets(self, slack_available_at: float) -> None:
        self._retry_budgets_by_service: dict[str, WindowBudget] = {}
        self._retry_slack_available_at = slack_available_at

    @property
    def ready(self) -> bool:
        """Return whether this node can serve callers."""
        # The fleet has a revision once its endpoints have been listed.
        has_endpoints = self.fleet.revision != NO_REVISION
        return not self.leaving and self.table is not None and has_endpoints

    @property
    def stops_at(self) -> float:
        """Return the epoch time at which this process aborts its open requests."""
        return self.stop.schedule.stops_at if self.stop.schedule else math.inf

    def record_plan(self, seen: SeenPlan) -> None:
        """Record a roll-out plan read or written, unless a newer one is known.

        The caller moves runs once all that it has read is recorded.
        The endpoints that it lists as changed have at least its target version.
        """
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
            revision=str(seen.revision),
        )
        self.rollout_wakeup.set()

    def next_attempt_id(self) -> AttemptId:
        """Return a new attempt id."""
        return AttemptId(self.incarnation, next(self._sequence))

    def limits(self) -> ConnectionLimits:
        """Return the current limits on callers' connections."""
        return self.table.limits if self.table is not None else ConnectionLimits()

    def spawn(self, run: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Start a task that may outlive its request; its exceptions are logged."""
        self._task_group.start_soon(run_logging_exceptions, run, *arguments)

    def record_contact(self, endpoint: Endpoint) -> None:
        """Record that data from an endpoint has just arrived."""
        self.silences.note_data(endpoint.lifetime)
        self._last_contact_at_by_lifetime[endpoint.lifetime] = self.clock.now()

    def silence_s(self, endpoint: Endpoint) -> float:
        """Return the time since an endpoint last sent data, or infinity if never."""
        last_contact_at = self._last_contact_at_by_lifetime.get(
            endpoint.lifetime, -math.inf
        )
        return self.clock.now() - last_contact_at

    def forget(self, gone: Iterable[Endpoint]) -> None:
        """Drop the state and the connections of removed endpoints."""
        for endpoint in gone:
            self._last_contact_at_by_lifetime.pop(endpoint.lifetime, None)
            self.pool.forget(endpoint.lifetime)
            self.load.forget(endpoint.lifetime)
            self.engine_states.forget(endpoint.lifetime)
            self.silences.note_data(endpoint.lifetime)
            self.parts.forget(endpoint.lifetime)
            self.placement.forget(endpoint.lifetime)

    def _note_load_changed(self) -> None:
        self.load_changed.set()
        self.lines.note_load_changed()

    def suspect(self, endpoint: Endpoint, reason: str) -> None:
        """Exclude an endpoint that failed to respond, for a limited time."""
        now = self.clock.now()
        if not self.suspects.is_suspected(endpoint.name, now):
            logger.info("endpoint suspected", endpoint=endpoint.lifetime, reason=reason)
        self.suspects.note_failure(endpoint.name, now)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; listen addresses take effect at the next start."""
        self.settings = settings
        self.store.set_address(settings.store.host, settings.store.port)
        for retry_budget in self._retry_budgets_by_service.values():
            retry_budget.set_slack(self._retry_slack())

    def _connect_store(self, store: ObjectStore) -> None:
        """Let the store ask peers, and tell what it learns of itself."""
        store.relays = self.peers
        store.on_new_era = self._note_new_era
        store.on_failing = self._note_store_failing

    def _note_store_failing(self) -> None:
        # Topics that are read through a peer wouldn't notice it.
        self.feed.renew_watches()

    def _note_new_era(self) -> None:
        """Read everything again, as the store has come back from an older copy."""
        self.feed.renew_watches()
        self._lost_nodes_kept_until = self.clock.now() + LOST_NODES_KEPT_S
        self.unlisted_node_seen.set()

    def note_store_reply(self) -> None:
        """Keep missing endpoints for a while if the reply ends an outage."""
        now = self.clock.now()
        kept_s = self.feed.outages.note_reply(now)
        if kept_s:
            logger.info("store outage ended", missing_endpoints_kept_s=kept_s)
            self.fleet.keep_missing_until(now + kept_s)

    def nodes_before_restore(self) -> dict[Address, str]:
        """Return the nodes known before a restore, which register again after it."""
        if self.clock.now() >= self._lost_nodes_kept_until:
            return {}
        return self._data_centres_by_node

    def peers(self) -> frozenset[Address]:
        """Return the addresses of the other nodes."""
        return (self.nodes | set(self.settings.seeds)) - {self.settings.inner}

    @property
    def store_role(self) -> StoreRole:
        """Return how this node learns of changes in the store."""
        if not self.watchers:
            return StoreRole.ALONE
        if self.settings.inner in self.watchers:
            return StoreRole.WATCHER
        return StoreRole.FOLLOWER

    def set_nodes(
        self,
        nodes: frozenset[Address],
        data_centres_by_node: dict[Address, str] | None = None,
    ) -> None:
        """Set the nodes, which share the retry slack and exchange load reports."""
        self.nodes = nodes
        self._data_centres_by_node = data_centres_by_node or {}
        self._unlisted_nodes -= nodes
        self.watchers = elect_watchers(data_centres_by_node or {})
        self.nodes_changed.set()
        count = max(1, len(nodes))
        if count == self._node_count:
            return
        logger.info("nodes counted", count=count, before=self._node_count)
        self._node_count = count
        for retry_budget in self._retry_budgets_by_service.values():
            retry_budget.set_slack(self._retry_slack())

    def note_unlisted_node(self, node: Address) -> None:
        """Have the list of nodes read again, once for each address that isn't on it."""
        self.allotments.node.hear_unlisted(node, self.clock.now())
        if len(self._unlisted_nodes) < MAX_UNLISTED_NODES:
            if node not in self._unlisted_nodes:
                self.unlisted_node_seen.set()
            self._unlisted_nodes.add(node)

    def retry_budget(self, service: str) -> WindowBudget:
        """Return this node's retry budget for a service."""
        retry_budget = self._retry_budgets_by_service.get(service)
        if retry_budget is None:
            bounds = self.settings.retries
            retry_budget = WindowBudget(
                self.clock,
                bounds.ratio,
                self._retry_slack(),
                bounds.window_s + RETRY_WINDOW_MARGIN_S,
                self._retry_slack_available_at,
            )
            self._retry_budgets_by_service[service] = retry_budget
        return retry_budget

    def _retry_slack(self) -> float:
        return RETRY_SLACK_SHARE * self.settings.retries.slack / self._node_count
