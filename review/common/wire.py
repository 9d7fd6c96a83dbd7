"""HTTP/1.1 on asyncio streams for the stand-ins and the clients of the review."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}


@dataclass(frozen=True)
class Message:
    """Hold a request or a response; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): text.strip() for name, _, text in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a chunked body up to its end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message, or None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def json_response(status: int, value: Any) -> bytes:
    """Return a response with a JSON body."""
    body = json.dumps(value).encode()
    return response(status, {"Content-Type": "application/json"}, body)


def request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a request; one with a body states its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class HttpServer:
    """Serve HTTP requests, one at a time on each connection."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        """Begin to serve; a later call uses the same port again."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            reset(writer)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(message, writer)
                if not writer.is_closing():
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()
