"""Routes of the operators' interface of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agatehoist.operators.access import for_operators
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from starlette.requests import Request

    from agatehoist.router.state import RouterState

BURN_PATH = "/operators/burn"

_converter = make_converter()


def operator_routes(state: RouterState) -> list[Route]:
    """Return the routes behind the operators' key."""
    key_digests = state.settings.operator_key_digests

    async def burn(_request: Request) -> Response:
        snapshot = state.burn.snapshot(state.clock.now())
        return JSONResponse(_converter.unstructure(snapshot))

    return [Route(BURN_PATH, for_operators(key_digests, burn))]
