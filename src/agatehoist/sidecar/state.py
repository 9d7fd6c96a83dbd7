"""State of a sidecar."""

from __future__ import annotations

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
from agatehoist.sidecar.scheduling import Scheduling

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
    """Hold what a sidecar knows about its endpoint and its work."""

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
        self.inner_keys = KeyRing(settings.inner_keys)
        self.incarnation = new_incarnation()
        self.status = UNKNOWN_STATUS
        self.session_slots = Slots("sessions", MAX_SESSIONS)
        self.leaving = False
        self.loading = False
        self.in_flight = InFlightCounter()
        self.picture = CacheIndex()
        self.cache_follower: CacheFollower | None = None
        self.scheduling = Scheduling(settings.endpoint, clock, self.picture.held_tokens)
        self.ledger = AttemptLedger()
        self.fleet = FleetView(clock)
        self.gossip = GossipNode(
            settings.node,
            settings.inner,
            self.incarnation,
            self.fleet,
            random.Random(self.incarnation),
            self.inner_keys,
        )
        self.ceilings = LeaseIssuer()
        self.executions_by_id: dict[AttemptId, Execution] = {}

    @property
    def identity(self) -> EndpointIdentity:
        """Return the identity that work must have been placed for."""
        return EndpointIdentity(
            self.incarnation, self.status.incarnation, self.status.weights_version
        )

    @property
    def ready(self) -> bool:
        """Say whether the endpoint can take work."""
        if self.status is UNKNOWN_STATUS or self.leaving or self.loading:
            return False
        is_engine = self.settings.endpoint.kind == ENGINE
        return bool(self.status.weights_version) or not is_engine

    def take_status(self, status: EndpointStatus) -> None:
        """Note what the endpoint reports; a change empties the cache picture."""
        if status != self.status:
            self.picture.reset(_epoch_of(status))
        self.status = status
        self.scheduling.observe(status.running)

    async def refresh_status(self) -> None:
        """Ask the endpoint for its status and note the answer."""
        try:
            self.take_status(await self.client.status())
        except EndpointError as error:
            logger.warning("endpoint lost", reason=str(error))
            self.lose_endpoint()

    def check_cache(self) -> None:
        """Have the blocks listed if the cache picture is in doubt."""
        if self.cache_follower is not None:
            self.cache_follower.check()

    def lose_endpoint(self) -> None:
        """Note that the endpoint doesn't answer."""
        self.take_status(UNKNOWN_STATUS)


def _epoch_of(status: EndpointStatus) -> CacheEpoch | None:
    if status == UNKNOWN_STATUS:
        return None
    return CacheEpoch(status.incarnation, status.weights_version)
