"""Change of the weights of one endpoint: drain, order, wait for completion."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.endpoint_calls import CallFailedError, read_report, send_order
from agatehoist.observability.logs import get_logger
from agatehoist.weights.types import WeightsOrder

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.fleet.types import Endpoint, EndpointReport
    from agatehoist.gateway.model_endpoints import ModelEndpoints
    from agatehoist.gateway.state import GatewayState
    from agatehoist.weights.types import Plan

logger = get_logger("weights")

# An engine's report may be a few hundred milliseconds old, so reading it more often
# would hardly show a change earlier.
REPORT_POLL_S = 0.15
ORDER_RETRY_S = 0.2
# If other endpoints can continue all runs, those that haven't moved after this time are
# interrupted and retried elsewhere.
INTERRUPT_AFTER_S = 1.2
# How long to wait for runs that no other endpoint can continue. After this time the
# order is sent all the same, and the endpoint finishes its runs first.
MAX_DRAIN_S = 2.0


class EndpointChange:
    """Change one endpoint to a weights version."""

    def __init__(
        self,
        state: GatewayState,
        endpoints: ModelEndpoints,
        target: int,
        authorise_order: Callable[[], Awaitable[Plan | None]],
    ) -> None:
        self._state = state
        self._endpoints = endpoints
        self._target = target
        self._authorise_order = authorise_order

    async def run(self, lifetime: str) -> bool:
        """Send orders until the endpoint has the weights; return whether it does."""
        while self._target == self._endpoints.target:
            endpoint = self._endpoints.find(lifetime)
            if endpoint is None:
                return False
            if self._endpoints.version(endpoint) >= self._target:
                return True
            try:
                if await self._order(endpoint):
                    return True
            except CallFailedError as error:
                logger.info(
                    "endpoint not changed, report not read",
                    endpoint=lifetime,
                    reason=str(error),
                )
                self._state.suspect(endpoint, str(error))
                return False
            await anyio.sleep(ORDER_RETRY_S)
        return False

    async def _order(self, endpoint: Endpoint) -> bool:
        """Send an order unless one is executed; return whether the endpoint changed."""
        report = await read_report(self._state, endpoint)
        if self._is_changed(report):
            return True
        if report.busy:
            return False
        cuts_runs = await self._drain(endpoint, report)
        plan = await self._authorise_order()
        if plan is None or self._target != self._endpoints.target:
            return False
        order = WeightsOrder(
            plan.model,
            self._target,
            plan.holder,
            plan.token,
            report.order_count,
            cuts_runs,
        )
        status = await self._send_order(endpoint, order)
        if status != HTTPStatus.ACCEPTED:
            return status == HTTPStatus.OK
        return await self._wait_changed(endpoint)

    def _is_changed(self, report: EndpointReport) -> bool:
        return report.versions_by_model.get(self._endpoints.model, 0) >= self._target

    async def _drain(self, endpoint: Endpoint, report: EndpointReport) -> bool:
        """Wait until runs have moved or ended; return whether to interrupt the rest."""
        began_at = self._state.clock.now()
        while True:
            waited_s = self._state.clock.now() - began_at
            if not report.runs:
                # Runs that have begun since the report finish.
                return False
            if not report.non_resumable_runs and waited_s > INTERRUPT_AFTER_S:
                return not self._gets_requests()
            if waited_s > MAX_DRAIN_S:
                return False
            await anyio.sleep(REPORT_POLL_S)
            report = await read_report(self._state, endpoint)

    def _gets_requests(self) -> bool:
        """Return whether requests go to changing endpoints, as there are no others.

        A run that isn't resumable may have begun since the report then.
        """
        now = self._state.clock.now()
        return all(
            self._state.weights.is_changing(each, now) for each in self._endpoints.all()
        )

    async def _send_order(
        self, endpoint: Endpoint, order: WeightsOrder
    ) -> HTTPStatus | None:
        try:
            status = await send_order(self._state, endpoint, order)
        except CallFailedError as error:
            # The order may still be executed, also later; the next report shows it. The
            # endpoint rejects it once its order count differs from the expected one.
            logger.info(
                "order not answered",
                endpoint=endpoint.lifetime,
                weights=order.version,
                reason=str(error),
            )
            return None
        # Logged for every status, including those with which the endpoint rejects it.
        logger.info(
            "order given",
            endpoint=endpoint.lifetime,
            model=order.model,
            weights=order.version,
            holder=order.holder,
            token=order.token,
            order_count=order.expected_order_count,
            status=int(status),
            cuts_runs=order.cuts_runs,
        )
        return status

    async def _wait_changed(self, endpoint: Endpoint) -> bool:
        while True:
            await anyio.sleep(REPORT_POLL_S)
            report = await read_report(self._state, endpoint)
            if self._is_changed(report):
                return True
            if not report.busy:
                return False
