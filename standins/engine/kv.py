"""Routes that tell of the cache of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

    from standins.engine.model import Engine


def cache_routes(engine: Engine) -> list[Route]:
    """Return the routes for cache events and the listing of the blocks."""

    async def events(_request: Request) -> Response:
        lines = engine.feed.follow()
        return StreamingResponse(lines, media_type="application/x-ndjson")

    async def blocks(_request: Request) -> Response:
        return JSONResponse(
            {
                "incarnation": engine.epoch.incarnation,
                "weights_version": engine.epoch.weights_version,
                "sequence": engine.feed.sequence,
                "blocks": engine.cache.blocks(),
            }
        )

    return [Route("/cache/events", events), Route("/cache/blocks", blocks)]
