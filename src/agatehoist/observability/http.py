"""HTTP routes for health checks and metrics, and the HTTP server."""

from __future__ import annotations

from contextlib import asynccontextmanager
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from typing import TYPE_CHECKING

import anyio
import hypercorn.asyncio
from aioprometheus import REGISTRY, render
from hypercorn.config import Config
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from agatehoist.core.sockets import open_listening_socket
from agatehoist.core.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from socket import socket

    from starlette.applications import Starlette
    from starlette.requests import Request

    from agatehoist.core.address import Address

GRACEFUL_TIMEOUT_S = 5.0
# Also limits the time from accepting a connection to the end of the request headers.
IDLE_TIMEOUT_S = 5.0
# A connection whose caller has read nothing for this time is reset.
UNREAD_TIMEOUT_S = 60.0
MAX_HEADER_BYTES = 16 * 1024
MAX_HTTP2_STREAMS = 100


def health_routes(is_ready: Callable[[], bool]) -> list[Route]:
    """Return the health, readiness and metrics routes of a router or sidecar."""

    async def healthz(_request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def readyz(_request: Request) -> Response:
        if is_ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", status_code=503)

    async def metrics(request: Request) -> Response:
        body, headers = render(REGISTRY, [request.headers.get("accept", "*/*")])
        return Response(body, headers=headers)

    return [
        Route("/healthz", healthz),
        Route("/readyz", readyz),
        Route("/metrics", metrics),
    ]


@asynccontextmanager
async def http_server(app: Starlette, address: Address) -> AsyncIterator[None]:
    """Serve an application over HTTP/1.1 and HTTP/2 while the context is open.

    Raises ListenError if the address can't be bound.
    """
    listening_socket = open_listening_socket(address.host, address.port)
    # The connections that it accepts inherit it. The server waits without end for
    # callers that read nothing, also when it shuts down.
    listening_socket.setsockopt(
        IPPROTO_TCP, TCP_USER_TIMEOUT, round(UNREAD_TIMEOUT_S * MS_PER_S)
    )
    shutdown = anyio.Event()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_serve, app, listening_socket, shutdown.wait)
        yield
        shutdown.set()


async def _serve(
    app: Starlette,
    listening_socket: socket,
    wait_for_shutdown: Callable[[], Awaitable[None]],
) -> None:
    config = Config()
    config.bind = [f"fd://{listening_socket.detach()}"]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = IDLE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.h2_max_header_list_size = MAX_HEADER_BYTES
    config.h2_max_concurrent_streams = MAX_HTTP2_STREAMS
    config.accesslog = None
    config.errorlog = None
    # Hypercorn and Starlette annotate the same ASGI callable differently.
    await hypercorn.asyncio.serve(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=wait_for_shutdown,
    )
