"""Lease on the roll-out plan of a model, which permits orders for a limited time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import ConflictError, PlatformError
from agatehoist.weights.types import Plan, SeenPlan, first_token
from agatehoist.weights.waves import (
    LEASE_S,
    TAKEOVER_SILENCE_S,
    Continuity,
    takeover_times,
)

if TYPE_CHECKING:
    from agatehoist.gateway.model_endpoints import ModelEndpoints
    from agatehoist.gateway.state import GatewayState
    from agatehoist.storage.objects import StoredValue

logger = get_logger("weights")


class PlanLease:
    """Hold the right to write the stored `Plan` of a model and to send orders for it.

    Times are in epoch seconds.
    """

    def __init__(self, state: GatewayState, endpoints: ModelEndpoints) -> None:
        self.held: SeenPlan | None = None
        self.orders_allowed_at = 0.0
        self.written_at = 0.0
        self._lease_valid_until = 0.0
        self._last_written_order: tuple[int, int] | None = None
        self._last_order_at = 0.0
        self._state = state
        self._endpoints = endpoints
        self._model = endpoints.model
        self._write_lock = anyio.Lock()

    def holds(self, seen: SeenPlan | None) -> bool:
        """Return whether no other node is known to have written the plan since."""
        if self.held is None or seen is None:
            return False
        return seen.revision <= self.held.revision

    async def take_over(
        self,
        seen: SeenPlan | None,
        outdated_since: float,
        changing: tuple[str, ...] = (),
    ) -> bool:
        """Acquire the plan unless another node renews it; return whether it worked."""
        now = self._state.clock.now()
        settings = self._state.settings
        times = takeover_times(
            settings.node,
            seen,
            now,
            settings.order_turn_s,
            outdated_since,
            self._continuity(),
        )
        if now < times.write_at:
            return False
        plan = self._new_plan(seen, changing)
        async with self._write_lock:
            if not await self._write(plan, seen):
                return False
        # If this node acquires its own plan again, it still has to wait for the orders
        # of the previous holder.
        self.orders_allowed_at = max(self.orders_allowed_at, times.order_at)
        logger.info(
            "plan taken over",
            model=self._model,
            before=seen.plan.holder if seen else "",
            token=plan.token,
            revision=str(seen.revision) if seen else "",
            order_in_s=round(max(0, times.order_at - now), 2),
        )
        return True

    async def update_plan(self, **changes: Any) -> bool:
        """Write the plan with changes and the endpoints that have the target by now."""
        async with self._write_lock:
            return await self._write_changes(changes)

    async def authorise_order(self, changing: tuple[str, ...]) -> Plan | None:
        """Wait until orders are allowed; return the plan, None if the lease is lost."""
        await anyio.sleep(max(0.0, self.orders_allowed_at - self._state.clock.now()))
        async with self._write_lock:
            if self.held is None:
                return None
            if self._state.clock.now() >= self._lease_valid_until:
                await self._write_changes({"changing": changing})
        if self.held is None or self._state.clock.now() >= self._lease_valid_until:
            return None
        self._last_order_at = self._state.clock.now()
        return self.held.plan

    async def release(self) -> None:
        """Release the plan, so that another node can acquire it at once."""
        if self.held is None:
            return
        # The previous holder may have sent orders up to `order_turn_s` before this node
        # was allowed to.
        previous_orders_end_at = (
            self.orders_allowed_at - self._state.settings.order_turn_s
        )
        idle_s = self._state.clock.now() - max(
            self._last_order_at, previous_orders_end_at
        )
        await self.update_plan(changing=(), released=True, idle_s=idle_s)
        self.held = None

    def _continuity(self) -> Continuity:
        """Return what is known of the last holder if the store has lost its plan."""
        weights = self._state.weights
        known = weights.plans_by_model.get(self._model)
        own_until = 0.0
        if known is not None and known.plan.order == self._last_written_order:
            # Others take over only a plan that hasn't been written for so long.
            own_until = self.written_at + TAKEOVER_SILENCE_S
        listed_at = weights.plans_listed_at if weights.plans_era else None
        return Continuity(listed_at, own_until)

    def _new_plan(self, seen: SeenPlan | None, changing: tuple[str, ...]) -> Plan:
        node, weights = self._state.settings.node, self._state.weights
        known = weights.plans_by_model.get(self._model)
        era = seen.revision.era if seen is not None else weights.plans_era
        plans = [each.plan for each in (seen, known) if each is not None]
        token, beat = first_token(era), 1
        if plans:
            last = max(plans, key=lambda each: each.order)
            token = max(token, last.token + (last.holder != node))
            beat = last.beat + 1
        return Plan(
            self._model, node, token, self._endpoints.target, beat, changing, era=era
        )

    async def _write_changes(self, changes: dict[str, Any]) -> bool:
        if self.held is None:
            return False
        plan = self.held.plan
        changed = self._endpoints.lifetimes_with_version(
            changes.get("target", plan.target)
        )
        changes = {"changed": changed, "beat": plan.beat + 1, **changes}
        return await self._write(replace(plan, **changes), self.held)

    async def _write(self, plan: Plan, seen: SeenPlan | None) -> bool:
        """Write a plan with compare-and-set; return whether it was written."""
        sent_at = self._state.clock.now()
        try:
            value = await self._put(plan, seen)
        except ConflictError as error:
            logger.info(
                "plan held by another node", model=self._model, reason=str(error)
            )
            self.held = None
            return False
        except PlatformError as error:
            logger.warning("plan not written", model=self._model, reason=str(error))
            self.held = None
            return False
        self.held = SeenPlan(plan, value.revision, self._state.clock.now())
        if self.held.is_copy:
            # Another era began before the write; nobody can tell whose plan it is.
            self.held = None
            return False
        self._lease_valid_until = sent_at + LEASE_S
        self.written_at = sent_at
        self._last_written_order = None if plan.released else plan.order
        self._state.record_plan(self.held)
        self._state.active_requests.consider_moves()
        return True

    async def _put(self, plan: Plan, seen: SeenPlan | None) -> StoredValue:
        store = self._state.store
        spec = write_plan(plan)
        if seen is None:
            return await store.create(PLAN_KIND, self._model, spec)
        return await store.replace(PLAN_KIND, self._model, spec, seen.revision)
