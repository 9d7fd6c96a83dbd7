"""Clients that send orders to endpoints, by kind of endpoint."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import httpx

from agatehoist.core.json_text import read_json
from agatehoist.core.registry import Registry
from agatehoist.endpoints.errors import EndpointNotReachedError
from agatehoist.errors import UnknownNameError
from agatehoist.http1.exchange import SINGLE_USE, UNENCODED, exchange
from agatehoist.orders.errors import OrderOutcomeUnknownError, OrderRefusedError
from agatehoist.orders.kinds import NAMES_BY_ORDER_CLASS
from agatehoist.orders.types import Report
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from agatehoist.orders.kinds import Order

ORDER_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 1024 * 1024

_converter = make_converter()


class OrderClient(Protocol):
    """Send orders to one endpoint."""

    def __init__(self, url: str) -> None: ...

    async def report(self) -> Report:
        """Return what the endpoint reports about its state and its orders.

        Raises EndpointNotReachedError.
        """

    async def send(self, order: Order, fencing_number: int, valid_until: float) -> None:
        """Send an order.

        Raises OrderRefusedError if it wasn't accepted, OrderOutcomeUnknownError
        if it may have been.
        """

    async def aclose(self) -> None:
        """Close the connections."""


ORDER_CLIENTS: Registry[type[OrderClient]] = Registry("kind that takes orders")


def order_client_for(kind: str, url: str) -> OrderClient | None:
    """Return a client, or None if the kind of endpoint accepts no orders."""
    try:
        return ORDER_CLIENTS[kind](url)
    except UnknownNameError:
        return None


@ORDER_CLIENTS.register("engine")
class EngineOrderClient:
    """Send orders to one engine."""

    def __init__(self, url: str) -> None:
        self._http = httpx.AsyncClient(
            base_url=url,
            timeout=ORDER_TIMEOUT_S,
            limits=SINGLE_USE,
            headers=UNENCODED,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def report(self) -> Report:
        """Return what the engine reports about its state and its orders.

        Raises EndpointNotReachedError.
        """
        try:
            reply = await exchange(
                self._http, "GET", "/orders", MAX_REPLY_BYTES, ORDER_TIMEOUT_S
            )
            if reply.head.status != HTTPStatus.OK:
                raise ValueError(f"status {reply.head.status}")
            return _converter.structure(read_json(reply.body), Report)
        except Exception as error:
            raise EndpointNotReachedError(
                f"engine's report can't be read: {error!r}"
            ) from error

    async def send(self, order: Order, fencing_number: int, valid_until: float) -> None:
        """Send an order.

        Raises OrderRefusedError if it wasn't accepted, OrderOutcomeUnknownError
        if it may have been.
        """
        body = {
            "order": NAMES_BY_ORDER_CLASS[type(order)],
            "fields": _converter.unstructure(order),
            "fencing_number": fencing_number,
            "valid_until": valid_until,
        }
        try:
            reply = await exchange(
                self._http,
                "POST",
                "/orders",
                MAX_REPLY_BYTES,
                ORDER_TIMEOUT_S,
                json=body,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise OrderRefusedError(
                f"connection to the engine failed: {error!r}"
            ) from error
        except httpx.HTTPError as error:
            raise OrderOutcomeUnknownError(
                f"engine did not answer the order: {error!r}"
            ) from error
        if reply.head.status != HTTPStatus.ACCEPTED:
            text = reply.body.decode(errors="replace")
            raise OrderRefusedError(f"{reply.head.status}: {text}")
