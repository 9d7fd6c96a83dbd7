"""Roll-out of target weights to the endpoints of each model, in waves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.core.wakeup import Wakeup
from agatehoist.gateway.endpoint_change import REPORT_POLL_S, EndpointChange
from agatehoist.gateway.model_endpoints import ModelEndpoints
from agatehoist.gateway.order_lease import OrderLease
from agatehoist.gateway.plan_lease import PlanLease
from agatehoist.observability.logs import get_logger
from agatehoist.weights.types import ORDERS_PLAN
from agatehoist.weights.waves import RENEWAL_INTERVAL_S, next_wave

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from agatehoist.gateway.state import GatewayState
    from agatehoist.weights.types import Plan

logger = get_logger("weights")

# How often a model is checked when nothing wakes its task.
IDLE_CHECK_INTERVAL_S = 1.0
# The other nodes learn of a wave within this time and stop sending to its endpoints.
WAVE_NOTICE_S = 0.1
# Endpoints that finish within this time are followed by one wave, not several.
WAVE_BATCH_DELAY_S = 0.1
# Runs that can move to another endpoint have done so within this time.
RUN_MOVE_LEAD_S = 0.5
# A change that takes longer is given up here, and another endpoint may change; runs in
# progress end within this time.
CHANGE_TIMEOUT_S = 4.0
WRITE_RETRY_S = 0.2
# A stopping node stops its roll-outs and releases its plans this long before its stop
# deadline.
PLAN_RELEASE_MARGIN_S = 1.0


async def roll_out_weights(state: GatewayState) -> None:
    """Roll out target weights to the endpoints of all models until cancelled."""
    rollouts_by_model: dict[str, ModelRollout] = {}
    orders = OrderLease(state)
    async with anyio.create_task_group() as task_group:
        while True:
            for model in state.weights.targets_by_model:
                if model not in rollouts_by_model and model != ORDERS_PLAN:
                    rollouts_by_model[model] = ModelRollout(state, model, orders)
                    task_group.start_soon(rollouts_by_model[model].run)
            await state.rollout_wakeup.wait(IDLE_CHECK_INTERVAL_S)
            for rollout in rollouts_by_model.values():
                rollout.wake()


class ModelRollout:
    """Roll out the target weights of one model to its endpoints."""

    def __init__(self, state: GatewayState, model: str, orders: OrderLease) -> None:
        self._state = state
        self._endpoints = ModelEndpoints(state, model)
        self._orders = orders
        self._lease = PlanLease(state, self._endpoints, orders)
        self._model = model
        self._wakeup = Wakeup()
        self._wakeup.set()
        self._outdated_since = 0.0
        self._changing_lifetimes: set[str] = set()
        self._change_tasks: TaskGroup

    def wake(self) -> None:
        """Make the task check the model now."""
        self._wakeup.set()

    async def run(self) -> None:
        """Run roll-outs whenever endpoints are outdated, until cancelled.

        A node without the plan tries to take it over, unless it is stopping.
        """
        async with anyio.create_task_group() as self._change_tasks:
            while True:
                await self._wakeup.wait(IDLE_CHECK_INTERVAL_S)
                while self._may_continue() and self._endpoints.has_outdated():
                    if not self._outdated_since:
                        self._outdated_since = self._state.clock.now()
                    await self._step()
                self._outdated_since = 0.0
                held = self._lease.held
                if held is not None and held.plan.changing:
                    await self._write_completion()
                await self._end_roll_out()

    async def _end_roll_out(self) -> None:
        """Record the end; the last one of a stopping node releases the orders."""
        in_rollout = self._state.models_in_rollout
        in_rollout.discard(self._model)
        if self._state.leaving and not in_rollout:
            # The process ends only when no model is left.
            in_rollout.add(self._model)
            # Without the plans, changes in progress send no further orders.
            await self._orders.release()
            in_rollout.discard(self._model)

    def _may_continue(self) -> bool:
        """Return whether to go on; a stopping node does if it holds the orders.

        It goes on until `PLAN_RELEASE_MARGIN_S` before its stop deadline. If each node
        released them at once, a rolling restart of all nodes would stall roll-outs.
        """
        if not self._state.leaving:
            return True
        left_s = self._state.stops_at - self._state.clock.now()
        return self._orders.is_held and left_s > PLAN_RELEASE_MARGIN_S

    async def _step(self) -> None:
        """Take over the plan, or start the next wave, or renew the plan, or wait."""
        lease = self._lease
        self._state.models_in_rollout.add(self._model)
        if not lease.is_held:
            changing = self._changing_lifetimes_in_service()
            if not await lease.take_over(self._outdated_since, changing):
                await anyio.sleep(WRITE_RETRY_S)
            return
        # The first wave begins before orders are allowed, so that runs have moved to
        # other endpoints when the first order is sent.
        allowed_at = self._orders.orders_allowed_at
        wait_s = allowed_at - RUN_MOVE_LEAD_S - self._state.clock.now()
        if wait_s > 0:
            await anyio.sleep(min(WRITE_RETRY_S, wait_s))
            return
        endpoints = self._endpoints
        wave = next_wave(
            endpoints.reachable_candidates(),
            endpoints.target,
            frozenset(self._changing_lifetimes_in_service()),
            endpoints.current_wave_share(),
        )
        if wave:
            await self._start_wave(wave)
        elif self._state.clock.now() > lease.written_at + RENEWAL_INTERVAL_S:
            await lease.update_plan(changing=self._changing_lifetimes_in_service())
        else:
            await self._wakeup.wait(REPORT_POLL_S)
            await anyio.sleep(WAVE_BATCH_DELAY_S)

    async def _start_wave(self, wave: tuple[str, ...]) -> None:
        target = self._endpoints.target
        changing = (*self._changing_lifetimes_in_service(), *wave)
        if not await self._lease.update_plan(target=target, changing=changing):
            await anyio.sleep(WRITE_RETRY_S)
            return
        logger.info(
            "roll-out wave begins", model=self._model, target=target, endpoints=wave
        )
        self._changing_lifetimes.update(wave)
        for lifetime in wave:
            self._change_tasks.start_soon(self._change_endpoint, lifetime, target)

    async def _write_completion(self) -> None:
        if await self._lease.update_plan(changing=()):
            target = self._endpoints.target
            logger.info("weights in force", model=self._model, target=target)

    async def _change_endpoint(self, lifetime: str, target: int) -> None:
        change = EndpointChange(
            self._state, self._endpoints, target, self._authorise_order
        )
        with anyio.move_on_after(CHANGE_TIMEOUT_S):
            await anyio.sleep(WAVE_NOTICE_S)
            if await change.run(lifetime):
                self._record_changed(lifetime, target)
        self._changing_lifetimes.discard(lifetime)
        self.wake()

    async def _authorise_order(self) -> Plan | None:
        return await self._lease.authorise_order(self._changing_lifetimes_in_service())

    def _record_changed(self, lifetime: str, target: int) -> None:
        endpoint = self._endpoints.find(lifetime)
        if endpoint is None:
            return
        self._state.fleet.note_version(endpoint, self._model, target)
        self._state.weights.note_changed(self._model, lifetime)
        logger.info("weights changed", endpoint=lifetime, weights=target)

    def _changing_lifetimes_in_service(self) -> tuple[str, ...]:
        """Return the changing endpoints that are still listed and aren't leaving."""
        in_service = (each.lifetime for each in self._endpoints.all())
        return tuple(each for each in in_service if each in self._changing_lifetimes)
