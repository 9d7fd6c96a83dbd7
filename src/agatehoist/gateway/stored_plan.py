"""One stored plan that this node may write, under compare-and-set."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import ConflictError, PlatformError
from agatehoist.weights.types import SeenPlan
from agatehoist.weights.waves import LEASE_S

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.storage.objects import StoredValue
    from agatehoist.weights.types import Plan

logger = get_logger("weights")


class StoredPlan:
    """Write the plan of one model and tell whether this process holds it.

    Times are in epoch seconds. `valid_until` is the end of the lease that the last
    write began.
    """

    def __init__(self, state: GatewayState, model: str) -> None:
        self.model = model
        self.held: SeenPlan | None = None
        self.written_at = -math.inf
        self.valid_until = 0.0
        self._last_written_order: tuple[int, int] | None = None
        self._state = state

    @property
    def stored(self) -> SeenPlan | None:
        """Return the plan that the store has, as last read or written."""
        return self._state.weights.stored_plans_by_model.get(self.model)

    @property
    def is_held(self) -> bool:
        """Return whether no other node is known to have written the plan since."""
        if self.held is None or self.stored is None:
            return False
        return self.stored.revision <= self.held.revision

    @property
    def is_newest_known(self) -> bool:
        """Return whether the newest known plan, maybe lost, was written here."""
        known = self._state.weights.plans_by_model.get(self.model)
        return known is not None and known.plan.order == self._last_written_order

    def next_beat(self) -> int:
        """Return a beat above those of all known writes of the plan."""
        known = self._state.weights.plans_by_model.get(self.model)
        beats = [each.plan.beat for each in (self.stored, known) if each is not None]
        return max(beats, default=0) + 1

    async def write(self, plan: Plan, seen: SeenPlan | None) -> bool:
        """Write the plan if the stored one is still `seen`; return whether it was."""
        sent_at = self._state.clock.now()
        try:
            value = await self._put(plan, seen)
        except ConflictError as error:
            logger.info(
                "plan held by another node", model=self.model, reason=str(error)
            )
            self.held = None
            return False
        except PlatformError as error:
            logger.warning("plan not written", model=self.model, reason=str(error))
            self.held = None
            return False
        self.held = SeenPlan(plan, value.revision, self._state.clock.now())
        if self.held.is_copy:
            # Another era began before the write; nobody can tell whose plan it is.
            self.held = None
            return False
        self.valid_until = sent_at + LEASE_S
        self.written_at = sent_at
        self._last_written_order = None if plan.released else plan.order
        self._state.record_plan(self.held)
        return True

    async def _put(self, plan: Plan, seen: SeenPlan | None) -> StoredValue:
        store = self._state.store
        spec = write_plan(plan)
        if seen is None:
            return await store.create(PLAN_KIND, self.model, spec)
        return await store.replace(PLAN_KIND, self.model, spec, seen.revision)
