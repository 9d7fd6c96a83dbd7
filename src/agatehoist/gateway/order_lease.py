"""Lease on the weights orders of the fleet, which one node has for all models."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.plans import PLAN_KIND
from agatehoist.gateway.stored_plan import StoredPlan
from agatehoist.gateway.topics import record_listed_plans
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import PlatformError
from agatehoist.weights.types import ORDERS_PLAN, Plan, first_token
from agatehoist.weights.waves import (
    TAKEOVER_SILENCE_S,
    Continuity,
    TakeoverTimes,
    latest_times,
    takeover_times,
)

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState
    from agatehoist.weights.types import SeenPlan

logger = get_logger("weights")


class OrderLease:
    """Hold the right to order weights, for all models of the fleet.

    An endpoint may have several models, and it must not get orders of two nodes within
    `order_turn_s`. So the nodes compete for one object, the plan `ORDERS_PLAN`, and the
    winner takes over the plans of all models before its first order: nodes of earlier
    releases compete for those only.

    The object is written when its holder changes and before a plan is created. In
    between, the writes of the models' plans show that the holder is alive, and fail
    once another node has taken them over. Times are in epoch seconds.
    """

    def __init__(self, state: GatewayState) -> None:
        self.orders_allowed_at = 0.0
        self._last_order_at = 0.0
        self._state = state
        self._orders = StoredPlan(state, ORDERS_PLAN)
        self._plans_by_model: dict[str, StoredPlan] = {ORDERS_PLAN: self._orders}
        self._lock = anyio.Lock()

    @property
    def is_held(self) -> bool:
        """Return whether this node may order, as far as it knows."""
        return self._orders.is_held and not self._plans_of_others()

    @property
    def token(self) -> int:
        """Return the fencing token of this node's turn, or 0 without one."""
        return self._orders.held.plan.token if self._orders.held is not None else 0

    @property
    def wait_s(self) -> float:
        """Return the time until this node may send orders, if it is the holder."""
        return max(0.0, self.orders_allowed_at - self._now())

    def plan(self, model: str) -> StoredPlan:
        """Return the stored plan of a model."""
        if model not in self._plans_by_model:
            self._plans_by_model[model] = StoredPlan(self._state, model)
        return self._plans_by_model[model]

    async def acquire(self, outdated_since: float) -> bool:
        """Become the holder unless another node is; return whether this node is it."""
        async with self._lock:
            if self.is_held:
                return True
            times = self._takeover_times(outdated_since)
            if self._now() < times.write_at:
                return False
            before = self._orders.stored
            if before is not None and not before.plan.released:
                # The holder may have written plans that haven't been seen here.
                if not await self._read_plans():
                    return False
                times = self._takeover_times(outdated_since)
                before = self._orders.stored
            if self._now() < times.write_at:
                return False
            self._allow_orders_at(times.order_at)
            if not await self._write_orders():
                return False
            logger.info(
                "orders taken over",
                before=before.plan.holder if before else "",
                revision=str(before.revision) if before else "",
                token=self.token,
                order_in_s=round(max(0, times.order_at - self._now()), 2),
            )
            return await self._take_over_plans(outdated_since)

    async def claim(self, plan: Plan) -> bool:
        """Write a model's plan, which this process doesn't hold yet, in this turn.

        Returns whether it was written.
        """
        stored_plan = self.plan(plan.model)
        async with self._lock:
            seen = stored_plan.stored
            # The next holder takes over the plans that it finds. One that is created
            # after that would be missed, so this node must have held the lease still.
            if seen is None and not await self._write_orders():
                return False
            written = await self.write(plan, seen)
            if seen is None and self._now() >= self._orders.valid_until:
                stored_plan.held = None
                return False
            return written

    async def write(self, plan: Plan, seen: SeenPlan | None) -> bool:
        """Write a model's plan in this turn; return whether it was written.

        The plan tells for how long orders of earlier holders may still arrive, which a
        process of this node that starts later can't know otherwise.
        """
        stamped = replace(plan, token=self.token, orders_wait_s=self.wait_s)
        return await self.plan(plan.model).write(stamped, seen)

    def note_order(self) -> None:
        """Record that an order is about to be sent."""
        self._last_order_at = self._now()

    async def release(self) -> None:
        """Let another node become the holder at once."""
        async with self._lock:
            if not self._orders.is_held:
                return
            idle_s = self._idle_s()
            own = [
                seen
                for seen in self._state.weights.stored_plans_by_model.values()
                if seen.plan.holder == self._state.settings.node
            ]
            # Once the orders are free, the plans must be free too.
            own.sort(key=lambda seen: seen.plan.model == ORDERS_PLAN)
            for seen in own:
                await self._release(seen, idle_s)

    async def _release(self, seen: SeenPlan, idle_s: float) -> None:
        stored_plan = self.plan(seen.plan.model)
        released = replace(
            seen.plan,
            beat=stored_plan.next_beat(),
            changing=(),
            released=True,
            idle_s=idle_s,
        )
        await self.write(released, seen)
        stored_plan.held = None

    def _idle_s(self) -> float:
        # The previous holder may have sent orders up to `order_turn_s` before this node
        # was allowed to.
        previous_orders_end_at = (
            self.orders_allowed_at - self._state.settings.order_turn_s
        )
        return self._now() - max(self._last_order_at, previous_orders_end_at)

    async def _write_orders(self) -> bool:
        seen = self._orders.stored
        era = seen.revision.era if seen else self._state.weights.plans_era
        plan = Plan(
            ORDERS_PLAN,
            self._state.settings.node,
            self._next_token(era),
            0,
            self._orders.next_beat(),
            era=era,
            orders_wait_s=self.wait_s,
        )
        return await self._orders.write(plan, seen)

    def _next_token(self, era: int) -> int:
        """Return the token for the next write, above those of all other holders."""
        weights = self._state.weights
        seen = (
            *weights.stored_plans_by_model.values(),
            *weights.plans_by_model.values(),
        )
        token = max((each.plan.token for each in seen), default=0)
        if any(
            each.plan.token == token and each.plan.holder != self._state.settings.node
            for each in seen
        ):
            token += 1
        return max(first_token(era), token)

    async def _take_over_plans(self, outdated_since: float) -> bool:
        """Take over the plans of other nodes; return whether none is left."""
        # Another node may have created one just before this node became the holder.
        if not await self._read_plans():
            return False
        for seen in self._plans_of_others():
            times = self._times(seen.plan.model, outdated_since)
            if self._now() < times.write_at:
                return False
            self._allow_orders_at(times.order_at)
            stored_plan = self.plan(seen.plan.model)
            taken = replace(
                seen.plan,
                holder=self._state.settings.node,
                beat=stored_plan.next_beat(),
                changing=(),
                released=False,
                idle_s=0.0,
                era=seen.revision.era,
            )
            if not await self.write(taken, seen):
                return False
        return self.is_held

    async def _read_plans(self) -> bool:
        try:
            listing = await self._state.store.list(PLAN_KIND)
        except PlatformError as error:
            logger.info("plans not read", reason=str(error))
            return False
        record_listed_plans(self._state, listing)
        return True

    def _plans_of_others(self) -> tuple[SeenPlan, ...]:
        """Return the models' plans that this node has to take over."""
        return tuple(
            seen
            for model, seen in self._state.weights.stored_plans_by_model.items()
            if model != ORDERS_PLAN
            and (seen.plan.holder != self._state.settings.node or seen.is_copy)
        )

    def _takeover_times(self, outdated_since: float) -> TakeoverTimes:
        models = [each.plan.model for each in self._plans_of_others()]
        models.append(self._newest_model() or ORDERS_PLAN)
        orders = self._orders.stored
        if orders is None or orders.is_copy:
            # A restored store may have lost plans too.
            models += self._state.weights.targets_by_model
        return latest_times(
            self._times(model, outdated_since) for model in dict.fromkeys(models)
        )

    def _newest_model(self) -> str:
        """Return the model of the plan that this node wrote last in its turn, or ""."""
        orders, node = self._orders.stored, self._state.settings.node
        if orders is None or orders.plan.holder != node:
            return ""
        stored = self._state.weights.stored_plans_by_model.values()
        own = [each for each in stored if each.plan.holder == node]
        return max(own, key=lambda each: each.revision).plan.model

    def _times(self, model: str, outdated_since: float) -> TakeoverTimes:
        settings, weights = self._state.settings, self._state.weights
        stored_plan = self.plan(model)
        own_until = 0.0
        if stored_plan.is_newest_known:
            # Others become the holder only if no plan has been written for so long.
            own_until = self._written_at() + TAKEOVER_SILENCE_S
        listed_at = weights.plans_listed_at if weights.plans_era else None
        return takeover_times(
            settings.node,
            stored_plan.stored,
            self._now(),
            settings.order_turn_s,
            outdated_since,
            Continuity(listed_at, own_until),
        )

    def _written_at(self) -> float:
        return max(each.written_at for each in self._plans_by_model.values())

    def _allow_orders_at(self, at: float) -> None:
        # A node that becomes the holder again still waits for the orders of the one
        # before.
        self.orders_allowed_at = max(self.orders_allowed_at, at)

    def _now(self) -> float:
        return self._state.clock.now()
