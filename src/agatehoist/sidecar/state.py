"""State of a sidecar."""

from __future__ import annotations

import itertools
import math
import random
from typing import TYPE_CHECKING

from agatehoist.attempts.ledger import AttemptLedger
from agatehoist.cache.cache_index import CacheIndex
from agatehoist.cache.types import CacheEpoch
from agatehoist.core.identity import EndpointIdentity, new_incarnation
from agatehoist.core.inflight import InFlightCounter
from agatehoist.endpoints.errors import EndpointError
from agatehoist.endpoints.types import EndpointStatus
from agatehoist.gossip.node import GossipNode
from agatehoist.limits.lease_issuer import LeaseIssuer
from agatehoist.membership.view import FleetView
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.authentication import KeyRing
from agatehoist.protocol.limits import MAX_SESSIONS, Slots
from agatehoist.protocol.messages import Refused
from agatehoist.refusals.kinds import EndpointFailed
from agatehoist.sidecar.scheduler_driver import SchedulerDriver

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from agatehoist.core.clock import Clock
    from agatehoist.core.identity import AttemptId
    from agatehoist.endpoints.kinds import EndpointClient
    from agatehoist.settings.types import SidecarSettings
    from agatehoist.sidecar.cache_events import CacheFollower
    from agatehoist.sidecar.execution import Execution

logger = get_logger("sidecar")

ENGINE = "engine"
UNKNOWN_STATUS = EndpointStatus("", "")


class SidecarState:
    """Hold the state of a sidecar in memory: its endpoint, attempts and leases."""

    def __init__(
        self,
        settings: SidecarSettings,
        client: EndpointClient,
        clock: Clock,
        task_group: TaskGroup,
    ) -> None:
        self.settings = settings
        self.client = client
        self.clock = clock
        self.task_group = task_group
        # Keys that authenticate connections between processes of the fleet.
        self.inner_keys = KeyRing(settings.inner_keys)
        self.incarnation = new_incarnation()
        self.status = UNKNOWN_STATUS
        self._last_known_status = UNKNOWN_STATUS
        # Status requests are numbered in the order in which they are sent.
        self._status_numbers = itertools.count(1)
        self._applied_status_number = 0
        self.session_slots = Slots("sessions", MAX_SESSIONS)
        # Epoch time at which the engine last sent a part of an answer.
        self.answered_at = -math.inf
        # Whether the sidecar is shutting down.
        self.leaving = False
        # Whether the endpoint carries out an order that interrupts its work.
        self.loading = False
        self.in_flight = InFlightCounter()
        self.cache_index = CacheIndex()
        self.cache_follower: CacheFollower | None = None
        self.scheduler = SchedulerDriver(
            settings.endpoint, clock, self.cache_index.held_tokens
        )
        self.ledger = AttemptLedger()
        # The configuration and host list that this sidecar has received.
        self.fleet = FleetView(clock)
        self.gossip = GossipNode(
            settings.node,
            settings.inner,
            self.incarnation,
            self.fleet,
            random.Random(self.incarnation),
            self.inner_keys,
        )
        self.lease_issuer = LeaseIssuer()
        self.executions_by_id: dict[AttemptId, Execution] = {}

    @property
    def identity(self) -> EndpointIdentity:
        """Return the endpoint identity; work placed for another one is refused."""
        return EndpointIdentity(
            self.incarnation, self.status.incarnation, self.status.weights_version
        )

    def is_known_to_differ_from(self, identity: EndpointIdentity) -> bool:
        """Return whether the endpoint's status is known and is that of another one."""
        return self.status is not UNKNOWN_STATUS and identity != self.identity

    @property
    def ready(self) -> bool:
        """Return whether the sidecar accepts work for its endpoint."""
        if self.status is UNKNOWN_STATUS or self.leaving or self.loading:
            return False
        is_engine = self.settings.endpoint.kind == ENGINE
        return bool(self.status.weights_version) or not is_engine

    def set_status(self, status: EndpointStatus) -> None:
        """Set the status of the endpoint.

        A change clears the cache index. Attempts that run under an earlier known status
        fail, so that routers can continue them elsewhere.
        """
        if status != self.status:
            self.cache_index.reset(_cache_epoch_of(status))
        self.status = status
        if status not in (UNKNOWN_STATUS, self._last_known_status):
            self._fail_running_attempts()
            self._last_known_status = status
        self.scheduler.report_running_jobs(status.running)

    async def refresh_status(self) -> None:
        """Request the status of the endpoint; without an answer it becomes unknown.

        An answer has no effect if that of a later request has arrived before.
        """
        number = next(self._status_numbers)
        try:
            status = await self.client.status()
        except EndpointError as error:
            logger.warning("endpoint status unavailable", reason=str(error))
            status = UNKNOWN_STATUS
        if number > self._applied_status_number:
            self._applied_status_number = number
            self.set_status(status)

    def wake_cache_resync_if_needed(self) -> None:
        """Wake the listing task if the cache index needs a block listing."""
        if self.cache_follower is not None:
            self.cache_follower.wake_resync_if_needed()

    def _fail_running_attempts(self) -> None:
        # Their KV cache was computed by the earlier weights.
        refusal = EndpointFailed.refuse(
            "the endpoint restarted or changed weights during the answer"
        ).refusal
        for attempt_id, execution in self.executions_by_id.items():
            if execution.started and execution.final_message is None:
                logger.warning(
                    "running attempt failed",
                    attempt=str(attempt_id),
                    reason=refusal.detail,
                    earlier_weights=self._last_known_status.weights_version,
                    weights=self.status.weights_version,
                )
                execution.finish(Refused(attempt_id, refusal))
                execution.scope.cancel()


def _cache_epoch_of(status: EndpointStatus) -> CacheEpoch | None:
    if status == UNKNOWN_STATUS:
        return None
    return CacheEpoch(status.incarnation, status.weights_version)
