"""Reconciliation of an endpoint with the configuration, by orders.

An order tells the endpoint to load weights or adapters or to change its role.
"""

from __future__ import annotations

import contextlib
import random
from functools import partial
from typing import TYPE_CHECKING

import anyio

from agatehoist.endpoints.errors import EndpointError
from agatehoist.observability.logs import get_logger
from agatehoist.orders.clients import order_client_for
from agatehoist.orders.errors import (
    OrderError,
    OrderExpiredError,
    OrderNotWantedError,
    SupersededError,
)
from agatehoist.orders.fencing import check_not_expired
from agatehoist.orders.goals import endpoints_of, goal_for
from agatehoist.orders.kinds import next_order
from agatehoist.orders.leases import (
    LoadRequest,
    decide_on_lease,
    record_load_result,
    release_lease,
)
from agatehoist.orders.objects import (
    acquire_lease,
    increase_fencing_number,
    update_ledger,
)
from agatehoist.orders.types import Granted, LeaseRequester, Stopped
from agatehoist.sidecar.order_sender import ORDER_TIMEOUT_S, OrderSender
from agatehoist.storage.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.configuration import FleetConfiguration
    from agatehoist.orders.clients import OrderClient
    from agatehoist.orders.kinds import Order
    from agatehoist.orders.leases import Decision
    from agatehoist.orders.types import FencingRecord, Goal, Lease, Ledger, Report
    from agatehoist.sidecar.state import SidecarState
    from agatehoist.storage.client import PlatformClient
    from agatehoist.storage.types import HostEntry

logger = get_logger("orders")

RECONCILE_INTERVAL_S = 0.5
STOPPED_ROLLOUT_RETRY_S = 300.0
HOST_LIST_TTL_S = 30.0


async def run_orders(
    state: SidecarState,
    platform: PlatformClient,
    configuration: Callable[[], FleetConfiguration],
) -> None:
    """Reconcile the endpoint if its kind supports orders."""
    endpoint = state.settings.endpoint
    client = order_client_for(endpoint.kind, endpoint.url)
    if client is None:
        return
    try:
        await Reconciler(state, platform, client, configuration).run()
    finally:
        with anyio.CancelScope(shield=True):
            await client.aclose()


class Reconciler:
    """Order one endpoint to hold the weights, adapters and role that are configured."""

    def __init__(
        self,
        state: SidecarState,
        platform: PlatformClient,
        client: OrderClient,
        configuration: Callable[[], FleetConfiguration],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._state = state
        self._platform = platform
        self._client = client
        self._configuration = configuration
        self._sleep = sleep
        self._sender = OrderSender(state, platform, client, configuration, sleep)
        self._rng = random.Random(state.incarnation)
        self._fencing: FencingRecord | None = None
        # A change of the lease in the ledger that is not written yet.
        self._pending_ledger_update: Callable[[Ledger], Ledger] | None = None
        self._cached_hosts: tuple[HostEntry, ...] = ()
        self._hosts_valid_until = 0.0
        # The target that was last refused a lease, and when to request one again.
        self._denied_target = ""
        self._next_lease_request_at = 0.0
        self._last_delay_reason = ""

    async def run(self) -> None:
        """Reconcile until another sidecar holds a higher fencing number."""
        while True:
            try:
                retry_at = await self.step()
            except SupersededError as error:
                logger.warning(
                    "superseded by another sidecar; giving no more orders",
                    reason=str(error),
                )
                # If this write fails, the lease stays in the ledger until the new
                # sidecar replaces it.
                with contextlib.suppress(PlatformError):
                    await self._write_ledger_update()
                return
            except (PlatformError, EndpointError, OrderError) as error:
                self._log_delay(str(error))
                delay = RECONCILE_INTERVAL_S * self._rng.uniform(1, 2)
                retry_at = self._now() + delay
            await self._sleep(max(0.0, retry_at - self._now()))

    async def step(self) -> float:
        """Give the next order if one is due and return the epoch time of the next step.

        Raises SupersededError, PlatformError, EndpointError or OrderError.
        """
        if self._fencing is None:
            self._fencing = await increase_fencing_number(
                self._platform, self._host, self._state.incarnation
            )
            logger.info("fencing number raised", number=self._fencing.number)
        await self._write_ledger_update()
        goal = await self._goal()
        if goal is not None and not self._state.leaving:
            report = await self._client.report()
            order = next_order(goal.holding, report.holding)
            if (
                order is not None
                and not report.loading
                and self._may_request_lease(goal)
            ):
                await self._try_order(goal, report, order)
        next_step_at = self._now() + RECONCILE_INTERVAL_S
        if self._now() < self._next_lease_request_at:
            # The next lease request may be due before the regular step.
            return min(next_step_at, self._next_lease_request_at)
        return next_step_at

    @property
    def _host(self) -> str:
        return self._state.settings.node.name

    def _now(self) -> float:
        return self._state.clock.now()

    async def _goal(self) -> Goal | None:
        configuration = self._configuration()
        model_name = self._state.settings.endpoint.serves
        model = configuration.models_by_name.get(model_name)
        # Only the prefill and decode roles depend on the other hosts.
        has_roles = model is not None and model.prefill_share > 0
        entries = await self._hosts() if has_roles else ()
        return goal_for(self._host, model_name, configuration, entries)

    async def _hosts(self) -> tuple[HostEntry, ...]:
        if self._now() >= self._hosts_valid_until:
            self._cached_hosts = await self._platform.hosts()
            self._hosts_valid_until = self._now() + HOST_LIST_TTL_S
        return self._cached_hosts

    def _may_request_lease(self, goal: Goal) -> bool:
        return (
            goal.target != self._denied_target
            or self._now() >= self._next_lease_request_at
        )

    async def _try_order(self, goal: Goal, report: Report, order: Order) -> None:
        # An endpoint without weights serves no work that an order could interrupt.
        has_weights = bool(report.holding.weights_version)
        decision = await self._request_lease(goal, order.interrupts and has_weights)
        if isinstance(decision, Granted):
            await self._execute_order(decision.lease, order)
            return
        self._log_delay(decision.reason)
        self._denied_target = goal.target
        if isinstance(decision, Stopped):
            # The roll-out has stopped, as a rule until an operator changes the target.
            delay_s = STOPPED_ROLLOUT_RETRY_S * self._rng.uniform(0.75, 1.25)
            self._next_lease_request_at = self._now() + delay_s
        else:
            self._next_lease_request_at = decision.retry_at

    async def _request_lease(self, goal: Goal, interrupts: bool) -> Decision:
        record = self._fencing_record()
        requester = LeaseRequester(self._host, record.owner, record.number, interrupts)
        endpoints = endpoints_of(goal.holding.model, await self._hosts())
        limits = self._configuration().orders

        def decide_now(ledger: Ledger) -> Decision:
            load_request = LoadRequest(requester, goal, endpoints, limits, self._now())
            return decide_on_lease(ledger, load_request, self._rng)

        return await acquire_lease(self._platform, decide_now)

    async def _execute_order(self, lease: Lease, order: Order) -> None:
        # The lease is granted, so the order can start.
        logger.info("order due", order=repr(order))
        self._state.loading = order.interrupts
        try:
            # The order must be done before the lease expires.
            if order.interrupts:
                await self._wait_for_work_in_flight(lease.expires_at - ORDER_TIMEOUT_S)
            await self._check_still_wanted(order)
            check_not_expired(lease.expires_at - ORDER_TIMEOUT_S, self._now())
            await self._sender.send(order, self._fencing_record())
            error = await self._sender.wait_until_done(order)
        except (OrderError, PlatformError):
            # The endpoint has not accepted the order.
            self._pending_ledger_update = partial(release_lease, lease=lease)
            raise
        else:
            self._pending_ledger_update = partial(
                record_load_result, lease=lease, error=error
            )
            logger.info("order ended", order=repr(order), error=error)
        finally:
            await self._accept_work_again()
        await self._write_ledger_update()

    async def _check_still_wanted(self, order: Order) -> None:
        # The configuration may have changed while work was drained.
        goal = await self._goal()
        if goal is None or not order.is_met(goal.holding):
            raise OrderNotWantedError(
                f"host {self._host} is no longer to have what {order!r} requests"
            )

    def _fencing_record(self) -> FencingRecord:
        assert self._fencing is not None
        return self._fencing

    async def _wait_for_work_in_flight(self, until: float) -> None:
        with anyio.move_on_after(max(0.0, until - self._now())):
            await self._state.in_flight.wait_idle()
        if self._state.in_flight.count:
            raise OrderExpiredError(
                "work in flight did not end before the lease ran out"
            )

    async def _accept_work_again(self) -> None:
        # The new status must be known before work is accepted: work that was placed
        # for the old one has to be refused.
        await self._state.refresh_status()
        self._state.loading = False
        # Logged after every order, whether it interrupted work or not.
        logger.info("work taken again", ready=self._state.ready)

    async def _write_ledger_update(self) -> None:
        if self._pending_ledger_update is not None:
            await update_ledger(self._platform, self._pending_ledger_update)
            self._pending_ledger_update = None

    def _log_delay(self, reason: str) -> None:
        if reason != self._last_delay_reason:
            logger.warning("reconciliation delayed", reason=reason)
            self._last_delay_reason = reason
