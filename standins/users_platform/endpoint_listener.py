"""Listener of an endpoint stand-in, which is closed while the endpoint is down."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol

import anyio

from agatehoist.http1.channel import accept_forever
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from agatehoist.http1.channel import Channel


class CrashingServer(Protocol):
    """Serve connections until `crashed` is set, and again down_s later."""

    crashed: anyio.Event
    down_s: float

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""

    def restart(self) -> None:
        """Begin again after a crash."""


@asynccontextmanager
async def run_endpoint(
    endpoint: CrashingServer, publish: Callable[[int], object]
) -> AsyncIterator[int]:
    """Serve an endpoint on a free port while the context is open; yield the port.

    Calls publish with the port at each start, the first one and those after crashes.
    """
    # Bound but not listening, it keeps the port while the endpoint is down.
    with socket.socket() as reserved:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((HOST, 0))
        port = reserved.getsockname()[1]
        listening = socket.create_server((HOST, port))
        publish(port)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_serve_until_crashes, endpoint, listening, publish)
            yield port
            task_group.cancel_scope.cancel()


async def _serve_until_crashes(
    endpoint: CrashingServer,
    listening: socket.socket,
    publish: Callable[[int], object],
) -> None:
    port = listening.getsockname()[1]
    while True:
        with listening:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    accept_forever, listening, endpoint.serve, task_group
                )
                await endpoint.crashed.wait()
                # Ends the runs, each of which closes its connection.
                task_group.cancel_scope.cancel()
        await anyio.sleep(endpoint.down_s)
        endpoint.restart()
        listening = socket.create_server((HOST, port))
        publish(port)
