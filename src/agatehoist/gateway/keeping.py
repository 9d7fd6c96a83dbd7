"""Keeper of the weights: brings endpoints to the named weights in waves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.core.wakeup import Wakeup
from agatehoist.gateway.holding import PlanHolder
from agatehoist.gateway.model_endpoints import ModelEndpoints
from agatehoist.gateway.ordering import POLL_S, EndpointChange
from agatehoist.observability.logs import get_logger
from agatehoist.weights.waves import RENEWAL_INTERVAL_S, next_wave

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from agatehoist.gateway.state import GatewayState
    from agatehoist.weights.types import Plan

logger = get_logger("weights")

# How often a model is looked at without a sign of news.
LOOK_S = 1.0
# The other nodes learn of a wave within this time and send nothing more there.
SETTLE_S = 0.1
# Endpoints that end a change within this time are followed by others together.
GATHER_S = 0.1
# Runs that can move have done so within this time.
MOVE_S = 0.5
# Runs that have begun end within this time; another endpoint follows then in any case.
CHANGE_TIMEOUT_S = 4.0
WRITE_RETRY_S = 0.2
# A plan is given back this long before its node stops.
HAND_OVER_S = 1.0


async def keep_weights(state: GatewayState) -> None:
    """Bring endpoints to the named weights until cancelled."""
    keepers_by_model: dict[str, ModelKeeper] = {}
    async with anyio.create_task_group() as task_group:
        while True:
            for model in state.weights.targets_by_model:
                if model not in keepers_by_model:
                    keepers_by_model[model] = ModelKeeper(state, model)
                    task_group.start_soon(keepers_by_model[model].run)
            await state.work.wait(LOOK_S)
            for keeper in keepers_by_model.values():
                keeper.wake()


class ModelKeeper:
    """Bring the endpoints of one model to its named weights."""

    def __init__(self, state: GatewayState, model: str) -> None:
        self._state = state
        self._endpoints = ModelEndpoints(state, model)
        self._holder = PlanHolder(state, self._endpoints)
        self._model = model
        self._work = Wakeup()
        self._work.set()
        self._pending_since = 0.0
        self._under_way: set[str] = set()
        self._changes: TaskGroup

    def wake(self) -> None:
        """Look at what is to be done."""
        self._work.set()

    async def run(self) -> None:
        """Order new weights whenever some are named and this node may."""
        async with anyio.create_task_group() as self._changes:
            while True:
                await self._work.wait(LOOK_S)
                while self._may_go_on() and self._endpoints.are_outdated():
                    if not self._pending_since:
                        self._pending_since = self._state.clock.now()
                    await self._step()
                self._pending_since = 0.0
                held = self._holder.held
                if held is not None and held.plan.changing:
                    await self._write_end()
                if self._state.leaving:
                    # Changes under way get no leave to order from now on.
                    await self._holder.release()
                self._state.ordering.discard(self._model)

    def _may_go_on(self) -> bool:
        """Say whether to order; a node that leaves ends what it holds while it can.

        Where all nodes leave in turn, a plan that changes hands each time stands still.
        """
        if not self._state.leaving:
            return True
        left_s = self._state.stops_at - self._state.clock.now()
        return self._holder.held is not None and left_s > HAND_OVER_S

    async def _step(self) -> None:
        seen = self._state.weights.plans_by_model.get(self._model)
        holder = self._holder
        self._state.ordering.add(self._model)
        if not holder.holds(seen):
            if not await holder.take_over(seen, self._pending_since):
                await anyio.sleep(WRITE_RETRY_S)
            return
        # Runs leave the endpoints of the first wave while the turn isn't over yet.
        wait_s = holder.order_at - MOVE_S - self._state.clock.now()
        if wait_s > 0:
            await anyio.sleep(min(WRITE_RETRY_S, wait_s))
            return
        endpoints = self._endpoints
        wave = next_wave(
            endpoints.reachable(),
            endpoints.target,
            frozenset(self._current()),
            endpoints.wave_share(),
        )
        if wave:
            await self._begin(wave)
        elif self._state.clock.now() > holder.written_at + RENEWAL_INTERVAL_S:
            await holder.write_over(changing=self._current())
        else:
            await self._work.wait(POLL_S)
            await anyio.sleep(GATHER_S)

    async def _begin(self, wave: tuple[str, ...]) -> None:
        target = self._endpoints.target
        changing = (*self._current(), *wave)
        if not await self._holder.write_over(target=target, changing=changing):
            await anyio.sleep(WRITE_RETRY_S)
            return
        logger.info("wave begins", model=self._model, target=target, endpoints=wave)
        self._under_way.update(wave)
        for lifetime in wave:
            self._changes.start_soon(self._change, lifetime, target)

    async def _write_end(self) -> None:
        if await self._holder.write_over(changing=()):
            target = self._endpoints.target
            logger.info("weights in force", model=self._model, target=target)

    async def _change(self, lifetime: str, target: int) -> None:
        change = EndpointChange(self._state, self._endpoints, target, self._may_order)
        with anyio.move_on_after(CHANGE_TIMEOUT_S):
            await anyio.sleep(SETTLE_S)
            if await change.run(lifetime):
                self._note_changed(lifetime, target)
        self._under_way.discard(lifetime)
        self.wake()

    async def _may_order(self) -> Plan | None:
        return await self._holder.may_order(self._current())

    def _note_changed(self, lifetime: str, target: int) -> None:
        endpoint = self._endpoints.find(lifetime)
        if endpoint is None:
            return
        self._state.fleet.note_version(endpoint, self._model, target)
        self._state.weights.note_changed(self._model, lifetime)
        logger.info("weights changed", endpoint=lifetime, weights=target)

    def _current(self) -> tuple[str, ...]:
        """Return the endpoints that change now and are still there."""
        live = (each.lifetime for each in self._endpoints.all())
        return tuple(each for each in live if each in self._under_way)
