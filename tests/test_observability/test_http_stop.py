"""Tests of the end of the HTTP server of routers and sidecars."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import anyio
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from agatehoist.core.address import Address
from agatehoist.core.sockets import open_listening_socket
from agatehoist.observability import http

if TYPE_CHECKING:
    from starlette.requests import Request

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: r\r\n\r\n"
# More than the sockets on the way hold.
ANSWER_BYTES = 32 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 4096
UNREAD_TIMEOUT_S = 1.0
TIMEOUT_S = 12.0


async def answer(_request: Request) -> Response:
    """Return a large answer."""
    return Response(b"x" * ANSWER_BYTES)


def free_address() -> Address:
    """Return an address on which nothing listens."""
    with open_listening_socket(HOST, 0) as listening:
        return Address(HOST, listening.getsockname()[1])


class StopTests(unittest.TestCase):
    def test_stop_ends_though_a_caller_reads_nothing(self) -> None:
        address = free_address()
        app = Starlette(routes=[Route("/", answer)])

        async def run() -> None:
            with anyio.fail_after(TIMEOUT_S):
                async with http.http_server(app, address):
                    caller.connect((address.host, address.port))
                    caller.send(REQUEST)
                    await anyio.sleep(UNREAD_TIMEOUT_S / 2)

        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            with mock.patch.object(http, "UNREAD_TIMEOUT_S", UNREAD_TIMEOUT_S):
                anyio.run(run)
