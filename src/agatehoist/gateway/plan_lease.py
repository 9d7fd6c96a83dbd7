"""Lease on the roll-out plan of a model, which permits orders for a limited time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.observability.logs import get_logger
from agatehoist.weights.types import Plan

if TYPE_CHECKING:
    from agatehoist.gateway.model_endpoints import ModelEndpoints
    from agatehoist.gateway.order_lease import OrderLease
    from agatehoist.gateway.state import GatewayState
    from agatehoist.weights.types import SeenPlan

logger = get_logger("weights")


class PlanLease:
    """Hold the right to write the stored `Plan` of a model and to send orders for it.

    Only the holder of the fleet's `OrderLease` has it. Times are in epoch seconds.
    """

    def __init__(
        self, state: GatewayState, endpoints: ModelEndpoints, orders: OrderLease
    ) -> None:
        self._state = state
        self._endpoints = endpoints
        self._model = endpoints.model
        self._orders = orders
        self._stored_plan = orders.plan(self._model)
        self._write_lock = anyio.Lock()

    @property
    def held(self) -> SeenPlan | None:
        """Return the plan as last written, or None if it isn't held."""
        return self._stored_plan.held

    @property
    def is_held(self) -> bool:
        """Return whether no other node is known to have become the holder."""
        return self._stored_plan.is_held and self._orders.is_held

    @property
    def written_at(self) -> float:
        """Return when the plan was last written."""
        return self._stored_plan.written_at

    async def take_over(
        self, outdated_since: float, changing: tuple[str, ...] = ()
    ) -> bool:
        """Acquire the plan unless another node has the turn; return whether it worked.

        If this node isn't the holder of the orders, it first becomes that.
        """
        if not await self._orders.acquire(outdated_since):
            return False
        before = self._stored_plan.stored
        plan = self._new_plan(before, changing)
        async with self._write_lock:
            if not await self._orders.claim(plan):
                return False
        self._state.active_requests.consider_moves()
        logger.info(
            "plan taken over",
            model=self._model,
            before=before.plan.holder if before else "",
            token=self._orders.token,
            revision=str(before.revision) if before else "",
        )
        return True

    async def update_plan(self, **changes: Any) -> bool:
        """Write the plan with changes and the endpoints that have the target by now."""
        async with self._write_lock:
            return await self._write_changes(changes)

    async def authorise_order(self, changing: tuple[str, ...]) -> Plan | None:
        """Wait until orders are allowed; return the plan, None if the lease is lost."""
        await anyio.sleep(self._orders.wait_s)
        async with self._write_lock:
            if self.held is None:
                return None
            if self._state.clock.now() >= self._stored_plan.valid_until:
                await self._write_changes({"changing": changing})
        if self.held is None or not self.is_held:
            return None
        if self._state.clock.now() >= self._stored_plan.valid_until:
            return None
        # Another turn may have begun meanwhile.
        if self._orders.wait_s > 0:
            return None
        self._orders.note_order()
        return replace(self.held.plan, token=self._orders.token)

    def _new_plan(self, seen: SeenPlan | None, changing: tuple[str, ...]) -> Plan:
        era = seen.revision.era if seen is not None else self._state.weights.plans_era
        return Plan(
            self._model,
            self._state.settings.node,
            self._orders.token,
            self._endpoints.target,
            self._stored_plan.next_beat(),
            changing,
            era=era,
        )

    async def _write_changes(self, changes: dict[str, Any]) -> bool:
        if self.held is None or not self.is_held:
            return False
        plan = self.held.plan
        changed = self._endpoints.lifetimes_with_version(
            changes.get("target", plan.target)
        )
        changes = {"changed": changed, "beat": plan.beat + 1, **changes}
        if not await self._orders.write(replace(plan, **changes), self.held):
            return False
        self._state.active_requests.consider_moves()
        return True
