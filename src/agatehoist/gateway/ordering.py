"""Change of the weights of one endpoint: drain, order, and wait for the end."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.calling import CallFailedError, give_order, read_report
from agatehoist.observability.logs import get_logger
from agatehoist.weights.types import WeightsOrder

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.fleet.types import Endpoint, EndpointReport
    from agatehoist.gateway.model_endpoints import ModelEndpoints
    from agatehoist.gateway.state import GatewayState
    from agatehoist.weights.types import Plan

logger = get_logger("weights")

# An engine's report may be some hundred milliseconds old.
POLL_S = 0.15
ORDER_RETRY_S = 0.2
# Runs that haven't moved by then are cut, and gone on with as repeats.
CUT_AFTER_S = 1.2
# How long runs that no other endpoint can go on with are waited for before an order.
MAX_DRAIN_S = 2.0


class EndpointChange:
    """Bring one endpoint to a weights version."""

    def __init__(
        self,
        state: GatewayState,
        endpoints: ModelEndpoints,
        target: int,
        may_order: Callable[[], Awaitable[Plan | None]],
    ) -> None:
        self._state = state
        self._endpoints = endpoints
        self._target = target
        self._may_order = may_order

    async def run(self, lifetime: str) -> bool:
        """Order until the endpoint has the weights, and say whether it has them."""
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
                logger.info("no report", endpoint=lifetime, reason=str(error))
                self._state.suspect(endpoint, str(error))
                return False
            await anyio.sleep(ORDER_RETRY_S)
        return False

    async def _order(self, endpoint: Endpoint) -> bool:
        """Give an order unless one is under way, and say whether the weights hold."""
        report = await read_report(self._state, endpoint)
        if self._is_changed(report):
            return True
        if report.busy:
            return False
        cuts_runs = await self._drain(endpoint, report)
        plan = await self._may_order()
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
        status = await self._give(endpoint, order)
        if status != HTTPStatus.ACCEPTED:
            return status == HTTPStatus.OK
        return await self._wait_changed(endpoint)

    def _is_changed(self, report: EndpointReport) -> bool:
        return report.versions_by_model.get(self._endpoints.model, 0) >= self._target

    async def _drain(self, endpoint: Endpoint, report: EndpointReport) -> bool:
        """Wait until runs have moved or ended; say whether those left may be cut."""
        began_at = self._state.clock.now()
        while True:
            waited_s = self._state.clock.now() - began_at
            if not report.runs:
                return True
            if not report.non_resumable_runs and waited_s > CUT_AFTER_S:
                return True
            if waited_s > MAX_DRAIN_S:
                return False
            await anyio.sleep(POLL_S)
            report = await read_report(self._state, endpoint)

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

    async def _wait_changed(self, endpoint: Endpoint) -> bool:
        while True:
            await anyio.sleep(POLL_S)
            report = await read_report(self._state, endpoint)
            if self._is_changed(report):
                return True
            if not report.busy:
                return False
