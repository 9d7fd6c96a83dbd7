"""HTTP routes for the block cache of the engine stand-in."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.engine.blocks import BLOCK_TOKENS

if TYPE_CHECKING:
    from starlette.requests import Request

    from standins.engine.model import Engine

IMPORT_TOKENS_PER_S = 200_000


def cache_routes(engine: Engine) -> list[Route]:
    """Return the routes for cache events, block listing, export and import."""

    async def events(_request: Request) -> Response:
        lines = engine.feed.subscribe()
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

    async def export(request: Request) -> Response:
        fields = await request.json()
        cached_blocks = tuple(itertools.takewhile(engine.cache.holds, fields["blocks"]))
        epoch = engine.epoch
        return JSONResponse(
            {
                "incarnation": epoch.incarnation,
                "weights_version": epoch.weights_version,
                "blocks": cached_blocks,
            }
        )

    async def import_cache(request: Request) -> Response:
        fields = await request.json()
        blocks = fields["blocks"]
        await anyio.sleep(len(blocks) * BLOCK_TOKENS / IMPORT_TOKENS_PER_S)
        if fields["weights_version"] != engine.weights_version:
            return JSONResponse({"error": {"message": "other weights"}}, 409)
        engine.import_blocks(blocks)
        return JSONResponse({"blocks": len(blocks)})

    return [
        Route("/cache/events", events),
        Route("/cache/blocks", blocks),
        Route("/cache/export", export, methods=["POST"]),
        Route("/cache/import", import_cache, methods=["POST"]),
    ]
