"""Orders that the engine stand-in takes."""

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
    """Report an order that the engine refuses."""


class HttpWeights:
    """Read weights from the weight store of the platform stand-in."""

    def __init__(self, url: str) -> None:
        self._url = url

    async def load(self, version: str) -> None:
        """Return once the weights are here.

        Raises WeightsError.
        """
        if not self._url:
            return
        async with httpx.AsyncClient(timeout=LOAD_TIMEOUT_S) as http:
            answer = await http.get(f"{self._url}/weights/{version}")
        if answer.is_error:
            raise WeightsError(f"no weights of version {version}")


class OrderDesk:
    """Take orders; with fencing refuse those that carry an old number."""

    def __init__(
        self,
        engine: Engine,
        fencing: bool,
        load: Callable[[str], Awaitable[None]],
    ) -> None:
        self._engine = engine
        self._fencing = fencing
        self._load = load
        self._highest_number = 0
        self.loading = False
        self.error = ""
        self.taken: list[dict[str, Any]] = []
        self.interrupted = 0

    def report(self) -> dict[str, Any]:
        """Return what the engine holds."""
        engine = self._engine
        holding = {
            "model": engine.model,
            "weights_version": engine.weights_version,
            "adapters": list(engine.adapters),
            "role": engine.role,
        }
        return {"holding": holding, "loading": self.loading, "error": self.error}

    def accept(self, body: dict[str, Any]) -> None:
        """Note an order that is to be carried out.

        Raises OrderError if it is old or the engine is busy.
        """
        number = body["fencing_number"]
        if self._fencing and number < self._highest_number:
            raise OrderError(f"fencing number {number} is old")
        self._highest_number = max(self._highest_number, number)
        if self.loading:
            raise OrderError("the engine is loading")
        self.taken.append(body)
        self.interrupted += self._engine.running
        self.error = ""
        self.loading = True

    async def carry_out(self, body: dict[str, Any]) -> None:
        """Do what an accepted order asks for; a failed load leaves no weights."""
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
            engine.drop_blocks()
            await self._load(fields["weights_version"])
            engine.model = fields["model"]
            engine.weights_version = fields["weights_version"]
        elif order == "set_adapters":
            engine.adapters = tuple(fields["adapters"])
        else:
            engine.role = fields["role"]


def order_routes(orders: OrderDesk) -> list[Route]:
    """Return the routes for orders."""

    async def report(_request: Request) -> Response:
        return JSONResponse(orders.report())

    async def counts(_request: Request) -> Response:
        return JSONResponse(
            {"taken": len(orders.taken), "interrupted": orders.interrupted}
        )

    async def take(request: Request) -> Response:
        body = await request.json()
        try:
            orders.accept(body)
        except OrderError as error:
            return Response(str(error), 409)
        carrying = BackgroundTask(orders.carry_out, body)
        return JSONResponse(None, 202, background=carrying)

    return [
        Route("/orders", report, methods=["GET"]),
        Route("/orders", take, methods=["POST"]),
        Route("/orders/counts", counts, methods=["GET"]),
    ]
