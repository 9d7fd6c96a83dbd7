"""Connections that this process opens to others."""

from __future__ import annotations

import anyio

from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import ConnectionLostError

CONNECT_TIMEOUT_S = 1.0


async def open_connection(host: str, port: int) -> Connection:
    """Connect to a process, without the handshake.

    Raises ConnectionLostError.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return Connection(await anyio.connect_tcp(host, port))
    except (OSError, TimeoutError) as error:
        raise ConnectionLostError(f"can't connect to {host}:{port}") from error
