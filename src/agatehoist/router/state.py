"""State of a router."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING
from weakref import WeakValueDictionary

from agatehoist.attempts.budget import RetryBudget
from agatehoist.attempts.suspicion import SuspicionTable
from agatehoist.claims.store import ClaimStore
from agatehoist.configuration import FleetConfiguration
from agatehoist.configuration.keys import KeyIndex
from agatehoist.core.byte_budget import ByteBudget
from agatehoist.core.identity import AttemptId, new_incarnation
from agatehoist.core.inflight import InFlightCounter
from agatehoist.gossip.node import GossipNode
from agatehoist.membership.view import FleetView
from agatehoist.protocol.authentication import KeyRing
from agatehoist.protocol.messages import PROTOCOL_VERSION, Hello
from agatehoist.reports.objectives import DEFAULT_OBJECTIVES_BY_NAME
from agatehoist.reports.recorder import BurnRecorder
from agatehoist.router.directory import EndpointDirectory
from agatehoist.router.links import LinkPool
from agatehoist.router.rate_limits import RateLimiter

if TYPE_CHECKING:
    import anyio
    from anyio.abc import TaskGroup

    from agatehoist.core.clock import Clock
    from agatehoist.settings.types import RouterSettings
    from agatehoist.storage.client import PlatformClient

MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024
# Smaller bodies are read beside any others.
SMALL_BODY_BYTES = 64 * 1024


class RouterState:
    """Hold the state of a router in memory; a restart may lose all of it."""

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        task_group: TaskGroup,
        platform: PlatformClient,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.task_group = task_group
        self.platform = platform
        self.claims = ClaimStore(platform)
        self.started_at = clock.now()
        self.claim_locks_by_name: WeakValueDictionary[str, anyio.Lock] = (
            WeakValueDictionary()
        )
        self.incarnation = new_incarnation()
        self.rng = random.Random(self.incarnation)
        self.directory = EndpointDirectory(clock)
        self.inner_keys = KeyRing(settings.inner_keys)
        self.links = LinkPool(self.directory, self._hello, task_group, self.inner_keys)
        self.leaving = False
        self.key_index = KeyIndex(FleetConfiguration())
        self.in_flight = InFlightCounter()
        self.body_budget = ByteBudget(MAX_BUFFERED_BODY_BYTES, SMALL_BODY_BYTES, clock)
        self.retry_budget = RetryBudget()
        self.suspects = SuspicionTable()
        self.limiter = RateLimiter()
        # Counts requests by whether they meet their objectives.
        self.burn = BurnRecorder(
            settings.node.name, DEFAULT_OBJECTIVES_BY_NAME, clock.now()
        )
        self._sequences = itertools.count(1)
        self.apply_configuration(FleetConfiguration())
        self.fleet = FleetView(clock)
        self.fleet.on_configuration.append(self.apply_configuration)
        self.fleet.on_hosts.append(self.directory.replace)
        self.gossip = GossipNode(
            settings.node,
            settings.inner,
            self.incarnation,
            self.fleet,
            self.rng,
            self.inner_keys,
        )

    @property
    def ready(self) -> bool:
        """Return whether the router can accept requests."""
        known = self.configuration.revision > 0 and self.fleet.has_hosts
        return known and not self.leaving

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self.key_index.update(configuration)
        self.burn.set_objectives(configuration.objectives_by_name)

    def next_attempt_id(self) -> AttemptId:
        """Return a unique attempt id."""
        return AttemptId(self.incarnation, next(self._sequences))

    def _hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self.settings.node.name,
            self.incarnation,
            self.configuration.revision,
        )
