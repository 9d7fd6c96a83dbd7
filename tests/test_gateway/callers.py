"""Requests as bytes, and sockets that send them to a gateway."""

from __future__ import annotations

import socket
from typing import Any

import anyio

from standins.users_platform.harness import API_KEY, MODEL, configuration
from standins.users_platform.loopback import HOST

HEADERS = (
    b"Host: a.example\r\nX-Agatehoist-Request-Id: r1\r\n"
    b"Api-Key: " + API_KEY.encode() + b"\r\n"
)
PROMPT_HEADERS = (
    b"X-Agatehoist-Model-Name: " + MODEL.encode() + b"\r\n"
    b"X-Agatehoist-Token-Count: 130,5\r\n"
    b"X-Agatehoist-Prompt-Prefix: aa:100,bb:30\r\n"
)
CLOSE = b"Connection: close\r\n"
REQUEST = b"GET /look/1 HTTP/1.1\r\n" + HEADERS + b"\r\n"
LAST_REQUEST = b"GET /look/1 HTTP/1.1\r\n" + CLOSE + HEADERS + b"\r\n"
POST_REQUEST = (
    b"POST /post/1 HTTP/1.1\r\nContent-Length: 5\r\n" + HEADERS + b"\r\nhello"
)
PROMPT_REQUEST = b"GET /credit/1 HTTP/1.1\r\n" + HEADERS + PROMPT_HEADERS + b"\r\n"
STREAM_END = b"0\r\n\r\n"
LONG_MS = 60_000
RECEIVE_BYTES = 64 * 1024
READ_TIMEOUT_S = 10.0


def slow_configuration(version: int = 3, **fields: Any) -> dict[str, Any]:
    """Return a configuration in which requests may take a minute."""
    slow = configuration(version, **fields)
    for each in slow["Routes"]:
        each.update(TimeoutMs=LONG_MS, TargetLatencyMs=LONG_MS)
    return slow


def connect_as_caller(port: int) -> socket.socket:
    """Return a socket that is connected to a gateway."""
    sock = socket.create_connection((HOST, port))
    sock.setblocking(False)
    return sock


async def send_later(sock: socket.socket, data: bytes, after_s: float) -> None:
    """Send bytes after a delay."""
    await anyio.sleep(after_s)
    sock.send(data)


async def read_until(sock: socket.socket, end: bytes) -> bytes:
    """Return what a gateway sends up to some bytes that end a piece of it."""
    received = b""
    with anyio.fail_after(READ_TIMEOUT_S):
        while end not in received:
            await anyio.wait_readable(sock)
            received += sock.recv(RECEIVE_BYTES)
    return received


async def read_piece(sock: socket.socket) -> bytes:
    """Return what a gateway sends next, nothing at the end.

    Raises ConnectionResetError if it resets the connection.
    """
    with anyio.fail_after(READ_TIMEOUT_S):
        await anyio.wait_readable(sock)
        return sock.recv(RECEIVE_BYTES)


async def read_to_end(sock: socket.socket) -> bytes:
    """Return all that a gateway sends until it closes the connection.

    Raises ConnectionResetError if it resets the connection.
    """
    received = b""
    with anyio.fail_after(READ_TIMEOUT_S):
        while True:
            await anyio.wait_readable(sock)
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                return received
            received += data
