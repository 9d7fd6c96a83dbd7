"""Sidecar process that accepts the links of bench.capacity.links."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from agatehoist.core.clock import SystemClock
from agatehoist.endpoints.service import ServiceClient
from agatehoist.settings.types import (
    Address,
    EndpointSettings,
    NodeSettings,
    PlatformSettings,
    SidecarSettings,
)
from agatehoist.sidecar.session import serve_session
from agatehoist.sidecar.state import SidecarState

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

UNUSED_ADDRESS = Address("127.0.0.1", 0)
UNUSED_URL = "http://127.0.0.1:1"


async def main() -> None:
    """Print the port and accept links until terminated."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    print(listener.extra(SocketAttribute.local_port), flush=True)
    async with anyio.create_task_group() as task_group:
        await listener.serve(partial(serve_session, _make_state(task_group)))


def _make_state(task_group: TaskGroup) -> SidecarState:
    settings = SidecarSettings(
        NodeSettings("peer", "dc-1", "coast"),
        UNUSED_ADDRESS,
        UNUSED_ADDRESS,
        PlatformSettings(UNUSED_URL),
        EndpointSettings("service", UNUSED_URL, "ledger"),
    )
    client = ServiceClient(UNUSED_URL)
    return SidecarState(settings, client, SystemClock(), task_group)


if __name__ == "__main__":
    anyio.run(main)
