"""Orders to the engine stand-in to change its weights, adapters or role."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx
from starlette.background import BackgroundTask
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from standins.engine.model import Engine

LOAD_TIMEOUT_S = 60.0


class WeightsError(Exception):
    """Report weights that can't be loaded."""


class OrderError(Exception):
    """Report an order that the engine rejects."""


class WeightLoader:
    """Load weights from the weight store of the platform stand-in over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url

    async def load(self, version: str) -> None:
        """Load a version of the weights.

        Raises WeightsError if the store has no such version.
        """
        if not self._url:
            return
        async with httpx.AsyncClient(timeout=LOAD_TIMEOUT_S) as http:
            answer = await http.get(f"{self._url}/weights/{version}")
        if answer.is_error:
            raise WeightsError(f"the weight store has no version {version}")


class OrderHandler:
    """Execute orders one at a time; with fencing, reject old fencing numbers."""

    def __init__(
        self,
        engine: Engine,
        fencing: bool,
        load: Callable[[str], Awaitable[None]],
    ) -> None:
        self._engine = engine
        self._fencing = fencing
        self._load = load
        self._highest_fencing_number = 0
        self.loading = False
        self.error = ""
        # The accepted orders, and the number of requests that ran at their acceptance.
        self.taken: list[dict[str, Any]] = []
        self.interrupted = 0

    def report(self) -> dict[str, Any]:
        """Return the engine's weights, adapters and role, and the state of its load."""
        engine = self._engine
        # What the engine has loaded.
        holding = {
            "model": engine.model,
            "weights_version": engine.weights_version,
            "adapters": list(engine.adapters),
            "role": engine.role,
        }
        return {"holding": holding, "loading": self.loading, "error": self.error}

    def accept(self, body: dict[str, Any]) -> None:
        """Record an order that is to be executed.

        Raises OrderError if its fencing number is old or the engine is loading.
        """
        number = body["fencing_number"]
        if self._fencing and number < self._highest_fencing_number:
            raise OrderError(f"fencing number {number} is older than the highest one")
        self._highest_fencing_number = max(self._highest_fencing_number, number)
        if self.loading:
            raise OrderError("the engine is loading")
        self.taken.append(body)
        self.interrupted += self._engine.running
        self.error = ""
        self.loading = True

    async def execute(self, body: dict[str, Any]) -> None:
        """Execute an accepted order; after a failed load the engine has no weights."""
        try:
            await self._apply(body["order"], body["fields"])
        except WeightsError as error:
            self.error = str(error)
        finally:
            self.loading = False

    async def _apply(self, order: str, fields: dict[str, Any]) -> None:
        engine = self._engine
        if order == "load_weights":
            engine.weights_version = ""
            engine.clear_cache()
            await self._load(fields["weights_version"])
            engine.model = fields["model"]
            engine.weights_version = fields["weights_version"]
        elif order == "set_adapters":
            engine.adapters = tuple(fields["adapters"])
        else:
            engine.role = fields["role"]


def order_routes(orders: OrderHandler) -> list[Route]:
    """Return the routes that report the engine, accept orders and count them."""

    async def report(_request: Request) -> Response:
        return JSONResponse(orders.report())

    async def counts(_request: Request) -> Response:
        return JSONResponse(
            {"taken": len(orders.taken), "interrupted": orders.interrupted}
        )

    async def accept_order(request: Request) -> Response:
        body = await request.json()
        try:
            orders.accept(body)
        except OrderError as error:
            return Response(str(error), 409)
        execution = BackgroundTask(orders.execute, body)
        return JSONResponse(None, 202, background=execution)

    return [
        Route("/orders", report, methods=["GET"]),
        Route("/orders", accept_order, methods=["POST"]),
        Route("/orders/counts", counts, methods=["GET"]),
    ]
