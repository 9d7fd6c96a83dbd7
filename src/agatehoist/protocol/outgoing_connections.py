"""Connections that this process opens to others."""

from __future__ import annotations

import anyio

from agatehoist.core.address import MAX_PORT
from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import ConnectionLostError

CONNECT_TIMEOUT_S = 1.0


async def open_connection(host: str, port: int) -> Connection:
    """Connect to a process, without the handshake.

    Raises ConnectionLostError.
    """
    if checked_integer(port, MAX_PORT) is None:
        raise ConnectionLostError(f"port {describe(port)} is out of range")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return Connection(await anyio.connect_tcp(host, port))
    except (OSError, ValueError) as error:
        # The last one is raised for a host that can't be encoded.
        raise ConnectionLostError(f"can't connect to {host:.80}:{port}") from error
