"""Keeper of the weights: takes the plan of a model over and orders in waves."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.gateway.calling import CallFailedError, give_order, read_report
from agatehoist.gateway.plans import PLAN_KIND, write_plan
from agatehoist.observability.logs import get_logger
from agatehoist.storage.errors import ConflictError, PlatformError
from agatehoist.weights.plan import without
from agatehoist.weights.types import Plan, SeenPlan, WeightsOrder
from agatehoist.weights.waves import (
    LEASE_S,
    RENEWAL_S,
    Candidate,
    claim,
    next_wave,
    wave_share,
)

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from agatehoist.fleet.types import Endpoint
    from agatehoist.gateway.state import GatewayState

logger = get_logger("weights")

# How often a model is looked at without a sign of news.
LOOK_S = 1.0
# The other nodes learn of a wave within this time and send nothing more there.
SETTLE_S = 0.1
# An engine's report may be some hundred milliseconds old.
POLL_S = 0.15
ORDER_RETRY_S = 0.2
# Endpoints that end a change within this time are followed by others together.
GATHER_S = 0.1
# Runs that can move have done so within this time.
MOVE_S = 0.5
# Runs that haven't moved by then are cut, and gone on with as repeats.
CUT_AFTER_S = 1.2
# How long runs that no other endpoint can go on with are waited for before an order.
MAX_DRAIN_S = 2.0
# Runs that have begun end within this time; another endpoint follows then in any case.
CHANGE_TIMEOUT_S = 4.0
WRITE_RETRY_S = 0.2


async def keep_weights(state: GatewayState) -> None:
    """Bring endpoints to the named weights until cancelled."""
    keepers_by_model: dict[str, ModelKeeper] = {}
    async with anyio.create_task_group() as task_group:
        while True:
            for model in state.weights.named_by_model:
                if model not in keepers_by_model:
                    keepers_by_model[model] = ModelKeeper(state, model)
                    task_group.start_soon(keepers_by_model[model].run)
            await state.wait_for_work(LOOK_S)
            for keeper in keepers_by_model.values():
                keeper.wake()


class ModelKeeper:
    """Bring the endpoints of one model to its named weights."""

    def __init__(self, state: GatewayState, model: str) -> None:
        self._state = state
        self._model = model
        self._work = anyio.Event()
        self._work.set()
        self._pending_since = 0.0
        self._order_at = 0.0
        self._valid_until = 0.0
        self._written_at = 0.0
        self._ordered_at = 0.0
        self._held: SeenPlan | None = None
        self._under_way: set[str] = set()
        self._changes: TaskGroup

    def wake(self) -> None:
        """Look at what is to be done."""
        self._work.set()

    async def run(self) -> None:
        """Order new weights whenever some are named and this node may."""
        async with anyio.create_task_group() as self._changes:
            while True:
                await self._wait(LOOK_S)
                while not self._state.leaving and self._outdated():
                    if not self._pending_since:
                        self._pending_since = self._now()
                    await self._step()
                self._pending_since = 0.0
                if self._held is not None and self._held.plan.changing:
                    await self._write_end()
                if self._state.leaving:
                    self._changes.cancel_scope.cancel()
                    await self._release()

    async def _step(self) -> None:
        seen = self._state.weights.plans_by_model.get(self._model)
        if not self._holds(seen) and not await self._take_over(seen):
            await anyio.sleep(WRITE_RETRY_S)
            return
        # Runs leave the endpoints of the first wave while the turn isn't over yet.
        wait_s = self._order_at - MOVE_S - self._now()
        if wait_s > 0:
            await anyio.sleep(min(WRITE_RETRY_S, wait_s))
            return
        wave = next_wave(
            self._reachable(), self._target(), self._current(), self._share()
        )
        if wave:
            await self._begin(wave)
        elif self._now() > self._written_at + RENEWAL_S:
            await self._renew()
        else:
            await self._wait(POLL_S)
            await anyio.sleep(GATHER_S)

    def _holds(self, seen: SeenPlan | None) -> bool:
        if self._held is None or seen is None:
            return False
        return seen.revision <= self._held.revision

    async def _wait(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self._work.wait()
        self._work = anyio.Event()

    async def _take_over(self, seen: SeenPlan | None) -> bool:
        now = self._now()
        node = self._state.settings.node
        turn_s = self._state.settings.order_turn_s
        times = claim(node, seen, now, turn_s, self._pending_since)
        if now < times.write_at:
            return False
        if not await self._write(self._fresh_plan(seen), seen):
            return False
        self._order_at = times.order_at
        before = seen.plan.holder if seen else ""
        logger.info(
            "plan taken over",
            model=self._model,
            before=before,
            revision=seen.revision if seen else 0,
            order_in_s=round(max(0, times.order_at - now), 2),
        )
        return True

    def _fresh_plan(self, seen: SeenPlan | None) -> Plan:
        node = self._state.settings.node
        if seen is None:
            return Plan(self._model, node, 1, self._target(), 1)
        plan = seen.plan
        token = plan.token if plan.holder == node else plan.token + 1
        return Plan(self._model, node, token, self._target(), plan.beat + 1)

    async def _begin(self, wave: tuple[str, ...]) -> None:
        target = self._target()
        changing = (*self._current(), *wave)
        if not await self._write_over(target=target, changing=changing):
            await anyio.sleep(WRITE_RETRY_S)
            return
        logger.info("wave begins", model=self._model, target=target, endpoints=wave)
        self._under_way.update(wave)
        for lifetime in wave:
            self._changes.start_soon(self._change, lifetime, target)

    async def _write_end(self) -> None:
        if await self._write_over(changing=()):
            logger.info("weights in force", model=self._model, target=self._target())

    async def _renew(self) -> bool:
        return await self._write_over(changing=tuple(self._current()))

    async def _write_over(self, **changes: Any) -> bool:
        """Write the plan with changes and what has been reached by now."""
        if self._held is None:
            return False
        plan = self._held.plan
        target = changes.get("target", plan.target)
        changed = tuple(
            each.lifetime for each in self._candidates() if each.version >= target
        )
        changes = {"changed": changed, "beat": plan.beat + 1, **changes}
        return await self._write(replace(plan, **changes), self._held)

    async def _change(self, lifetime: str, target: int) -> None:
        with anyio.move_on_after(CHANGE_TIMEOUT_S):
            await anyio.sleep(SETTLE_S)
            await self._order_until_changed(lifetime, target)
        self._under_way.discard(lifetime)
        self.wake()

    async def _order_until_changed(self, lifetime: str, target: int) -> None:
        while target == self._target():
            endpoint = self._endpoint(lifetime)
            if endpoint is None or self._version(endpoint) >= target:
                return
            try:
                if await self._order(endpoint, target):
                    self._note_changed(endpoint, target)
                    return
            except CallFailedError as error:
                logger.info("no report", endpoint=lifetime, reason=str(error))
                self._state.suspect(endpoint, str(error))
                return
            await anyio.sleep(ORDER_RETRY_S)

    async def _order(self, endpoint: Endpoint, target: int) -> bool:
        """Give an order unless one is under way, and say whether the weights hold."""
        report = await read_report(self._state, endpoint)
        if report.versions_by_model.get(self._model, 0) >= target:
            return True
        if report.busy:
            return False
        cuts_runs = await self._wait_uncuttable(endpoint)
        if not await self._may_order(target):
            return False
        assert self._held is not None
        order = WeightsOrder(
            self._model,
            target,
            self._state.settings.node,
            self._held.plan.token,
            report.order_count,
            cuts_runs,
        )
        self._ordered_at = self._now()
        status = await self._give(endpoint, order)
        if status != HTTPStatus.ACCEPTED:
            return status == HTTPStatus.OK
        return await self._wait_changed(endpoint, target)

    async def _give(self, endpoint: Endpoint, order: WeightsOrder) -> HTTPStatus | None:
        try:
            status = await give_order(self._state, endpoint, order)
        except CallFailedError as error:
            # It may be carried out, now or late; the next report tells. Once another
            # order was carried out, the expected count keeps it from being so.
            logger.info(
                "order not answered",
                endpoint=endpoint.lifetime,
                weights=order.version,
                reason=str(error),
            )
            return None
        logger.info(
            "order given",
            endpoint=endpoint.lifetime,
            weights=order.version,
            token=order.token,
            order_count=order.expected_order_count,
            status=int(status),
            cuts_runs=order.cuts_runs,
        )
        return status

    async def _wait_uncuttable(self, endpoint: Endpoint) -> bool:
        """Wait until runs have moved or ended; say whether those left may be cut."""
        began_at = self._now()
        while True:
            report = await read_report(self._state, endpoint)
            waited_s = self._now() - began_at
            if not report.runs:
                return True
            if not report.uncuttable_runs and waited_s > CUT_AFTER_S:
                return True
            if waited_s > MAX_DRAIN_S:
                return False
            await anyio.sleep(POLL_S)

    async def _may_order(self, target: int) -> bool:
        """Renew the lease if it has run out and say whether the target still holds."""
        if target != self._target() or self._held is None:
            return False
        await anyio.sleep(max(0.0, self._order_at - self._now()))
        return self._now() < self._valid_until or await self._renew()

    async def _wait_changed(self, endpoint: Endpoint, target: int) -> bool:
        while True:
            await anyio.sleep(POLL_S)
            report = await read_report(self._state, endpoint)
            if report.versions_by_model.get(self._model, 0) >= target:
                return True
            if not report.busy:
                return False

    def _note_changed(self, endpoint: Endpoint, target: int) -> None:
        self._state.fleet.note_version(endpoint, self._model, target)
        seen = self._state.weights.plans_by_model.get(self._model)
        if seen is not None and endpoint.lifetime in seen.plan.changing:
            plan = without(seen.plan, endpoint.lifetime)
            self._state.weights.plans_by_model[self._model] = replace(seen, plan=plan)
        logger.info("weights changed", endpoint=endpoint.lifetime, weights=target)

    async def _release(self) -> None:
        """Let another node go on at once when this one stops."""
        if self._held is None:
            return
        idle_s = self._now() - self._ordered_at
        await self._write_over(changing=(), released=True, idle_s=idle_s)
        self._held = None

    async def _write(self, plan: Plan, seen: SeenPlan | None) -> bool:
        """Write a plan over the one seen and say whether this node holds it."""
        sent_at = self._now()
        store = self._state.store
        try:
            if seen is None:
                value = await store.create(PLAN_KIND, self._model, write_plan(plan))
            else:
                value = await store.replace(
                    PLAN_KIND, self._model, write_plan(plan), seen.revision
                )
        except ConflictError:
            logger.info("plan held by another node", model=self._model)
            self._held = None
            return False
        except PlatformError as error:
            logger.warning("plan not written", model=self._model, reason=str(error))
            self._held = None
            return False
        self._held = SeenPlan(plan, value.revision, self._now())
        self._valid_until = sent_at + LEASE_S
        self._written_at = sent_at
        self._state.see_plan(self._held)
        return True

    def _outdated(self) -> bool:
        target = self._target()
        return any(each.version < target for each in self._candidates())

    def _candidates(self) -> tuple[Candidate, ...]:
        return tuple(
            Candidate(each.lifetime, self._version(each)) for each in self._endpoints()
        )

    def _share(self) -> float:
        oldest = min((each.version for each in self._candidates()), default=0)
        now = self._now()
        since = self._state.weights.waiting_since(self._model, oldest, now)
        return wave_share(now - since, self._state.settings.weights_in_force_s)

    def _reachable(self) -> tuple[Candidate, ...]:
        """Return the candidates that others can't wait for in vain."""
        now = self._now()
        return tuple(
            Candidate(each.lifetime, self._version(each))
            for each in self._endpoints()
            if not self._state.suspects.is_suspected(each.name, now)
        )

    def _endpoints(self) -> tuple[Endpoint, ...]:
        table = self._state.table
        if table is None:
            return ()
        now = self._now()
        return tuple(
            endpoint
            for service in table.services_by_name.values()
            if service.engines and self._model in service.engines.models
            for endpoint in self._state.fleet.serving(service.name, now)
        )

    def _endpoint(self, lifetime: str) -> Endpoint | None:
        found = (each for each in self._endpoints() if each.lifetime == lifetime)
        return next(found, None)

    def _current(self) -> frozenset[str]:
        live = {each.lifetime for each in self._endpoints()}
        return frozenset(self._under_way & live)

    def _version(self, endpoint: Endpoint) -> int:
        return self._state.fleet.version_of(endpoint, self._model)

    def _target(self) -> int:
        return self._state.weights.named_by_model[self._model].version

    def _now(self) -> float:
        return self._state.clock.now()
