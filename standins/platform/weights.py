"""Rate-limited weight store of the platform stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

BAD_PREFIX = "bad"


@dataclass
class WeightStore:
    """Count the loads that run at once; more than the limit run slower."""

    load_s: float = 0.3
    limit: int = 3
    running: int = 0
    peak: int = 0
    total: int = 0

    async def load(self, request: Request) -> Response:
        """Answer once a version is read, or refuse a bad one."""
        self.running += 1
        self.total += 1
        self.peak = max(self.peak, self.running)
        try:
            await anyio.sleep(self.load_s * max(1, self.running / self.limit))
        finally:
            self.running -= 1
        is_bad = request.path_params["version"].startswith(BAD_PREFIX)
        return Response(status_code=422 if is_bad else 200)

    async def counts(self, _request: Request) -> Response:
        """Answer with the highest number of loads at once and their total."""
        return JSONResponse({"peak": self.peak, "total": self.total})


def weight_routes(weights: WeightStore) -> list[Route]:
    """Return the routes of the weight store."""
    return [
        Route("/weights", weights.counts),
        Route("/weights/{version}", weights.load),
    ]
