"""HTTP routes of a router's interface for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from agatehoist.operators.access import require_operator_key
from agatehoist.operators.status import EndpointView, RouterStatus
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from starlette.requests import Request

    from agatehoist.router.state import RouterState

BURN_PATH = "/operators/burn"
STATUS_PATH = "/operators/status"

_converter = make_converter()


def operator_routes(state: RouterState) -> list[Route]:
    """Return the routes that require an operator's key."""
    key_digests = state.settings.operator_key_digests

    async def burn(_request: Request) -> Response:
        snapshot = state.burn.snapshot(state.clock.now())
        return JSONResponse(_converter.unstructure(snapshot))

    async def status(_request: Request) -> Response:
        return JSONResponse(_converter.unstructure(_router_status(state)))

    return [
        Route(BURN_PATH, require_operator_key(key_digests, burn)),
        Route(STATUS_PATH, require_operator_key(key_digests, status)),
    ]


def _router_status(state: RouterState) -> RouterStatus:
    now = state.clock.now()
    return RouterStatus(
        state.settings.node.name,
        state.settings.node.data_centre,
        state.configuration.revision,
        state.ready,
        state.leaving,
        state.in_flight.count,
        state.started_at,
        now,
        tuple(
            EndpointView(
                entry.host,
                entry.kind,
                entry.serves,
                entry.data_centre,
                str(entry.state),
                state.directory.is_leaving(entry.host),
                state.suspects.is_suspected(entry.host, now),
            )
            for entry in state.directory.hosts_by_name.values()
        ),
        {str(name): count for name, count in state.platform.calls_by_purpose.items()},
    )
