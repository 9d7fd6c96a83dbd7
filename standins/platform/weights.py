"""Rate-limited weight store of the platform stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

BAD_VERSION_PREFIX = "bad"


@dataclass
class WeightStore:
    """Simulate loads of weights, which slow down if more than the limit run at once."""

    load_s: float = 0.3
    limit: int = 3
    running: int = 0
    peak: int = 0
    total: int = 0

    async def load(self, request: Request) -> Response:
        """Return 200 once a version is loaded, or 422 for a bad version."""
        self.running += 1
        self.total += 1
        self.peak = max(self.peak, self.running)
        try:
            await anyio.sleep(self.load_s * max(1, self.running / self.limit))
        finally:
            self.running -= 1
        is_bad = request.path_params["version"].startswith(BAD_VERSION_PREFIX)
        return Response(status_code=422 if is_bad else 200)

    async def counts(self, _request: Request) -> Response:
        """Return the peak number of concurrent loads and the total number of loads."""
        return JSONResponse({"peak": self.peak, "total": self.total})


def weight_routes(weights: WeightStore) -> list[Route]:
    """Return the routes of the weight store."""
    return [
        Route("/weights", weights.counts),
        Route("/weights/{version}", weights.load),
    ]
