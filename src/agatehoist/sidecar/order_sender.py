"""Sending of orders under the fencing number of a sidecar."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.endpoints.errors import EndpointError
from agatehoist.observability.logs import get_logger
from agatehoist.orders.errors import OrderOutcomeUnknownError, OrderRefusedError
from agatehoist.orders.fencing import (
    ORDER_VALIDITY_S,
    check_in_force,
    check_not_expired,
)
from agatehoist.orders.objects import read_fencing_record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.configuration import FleetConfiguration
    from agatehoist.orders.clients import OrderClient
    from agatehoist.orders.kinds import Order
    from agatehoist.orders.types import FencingRecord
    from agatehoist.sidecar.state import SidecarState
    from agatehoist.storage.client import PlatformClient

logger = get_logger("orders")

ORDER_TIMEOUT_S = 45.0
REPORT_INTERVAL_S = 0.1


class OrderSender:
    """Send orders to one endpoint and wait until it reports that they are done."""

    def __init__(
        self,
        state: SidecarState,
        platform: PlatformClient,
        client: OrderClient,
        configuration: Callable[[], FleetConfiguration],
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._state = state
        self._platform = platform
        self._client = client
        self._configuration = configuration
        self._sleep = sleep

    async def send(self, order: Order, fencing_record: FencingRecord) -> None:
        """Send an order unless another sidecar has a higher fencing number.

        Raises SupersededError, OrderExpiredError, OrderRefusedError or
        PlatformError; the endpoint hasn't accepted the order then.
        """
        valid_until = self._now() + ORDER_VALIDITY_S
        host = self._state.settings.node.name
        # An endpoint that checks fencing numbers refuses those of an older sidecar; for
        # any other one, the sidecar compares its number with the platform's record.
        if not self._configuration().rules_of(host).checks_fencing:
            await self._check_fencing(fencing_record)
        check_not_expired(valid_until, self._now())
        try:
            await self._client.send(order, fencing_record.number, valid_until)
        except OrderRefusedError:
            # Raises SupersededError if a newer fencing number explains the refusal.
            await self._check_fencing(fencing_record)
            raise
        except OrderOutcomeUnknownError as error:
            # wait_until_done learns from the report whether the order was accepted.
            logger.warning("order outcome unknown", reason=str(error))

    async def wait_until_done(self, order: Order) -> str:
        """Return an empty string once an order is done, or the reason of its failure.

        An order is done when the endpoint reports that it holds what was ordered.
        """
        give_up_at = self._now() + ORDER_TIMEOUT_S
        error = "no report"
        while self._now() < give_up_at:
            try:
                report = await self._client.report()
            except EndpointError as failure:
                error = str(failure)
            else:
                if order.is_met(report.holding) and not report.loading:
                    return ""
                if report.error and not report.loading:
                    return report.error
                error = "not ready in time"
            await self._sleep(REPORT_INTERVAL_S)
        return error

    async def _check_fencing(self, fencing_record: FencingRecord) -> None:
        host = self._state.settings.node.name
        check_in_force(fencing_record, await read_fencing_record(self._platform, host))

    def _now(self) -> float:
        return self._state.clock.now()
