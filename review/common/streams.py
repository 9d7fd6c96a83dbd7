"""Model runners that stream, move runs and leave."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from runners import ModelRunner, Run
from wire import json_response, response

if TYPE_CHECKING:
    from store import Store
    from wire import Message

EVENTS = 40
EVENT_GAP_S = 0.1
CHUNKED = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
COPY_S = 0.02


class StreamRunner(ModelRunner):
    """Stream events, and move a run with its memory to another runner.

    Handles are numbers. `peers` holds all runners by address.
    """

    peers: dict[str, StreamRunner]

    def __init__(
        self, host: str, name: str, service: str, store: Store, model: str
    ) -> None:
        super().__init__(host, name, service, store, model)
        self.model = model
        self.is_down = False
        # Runs that a move has stopped, and the copies that lie here, by Kv-From.
        self.stopping: set[str] = set()
        self.copies: set[str] = set()
        self.moves: list[str] = []
        self._handles = 0

    async def accept(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a move, or what other runners answer too."""
        if message.target != "/agatehoist/kv-move":
            await super().accept(message, writer)
            return
        move = json.loads(message.body)
        if not any(each.request_id == move["Id"] for each in self.active):
            writer.write(response(404, {}))
            return
        self._handles += 1
        handle = f"{self._handles}"
        self.stopping.add(move["Id"])
        await asyncio.sleep(COPY_S)
        peer = self.peers.get(move["To"])
        is_copied = peer is not None and not peer.is_down
        status = 200 if is_copied else 503
        if is_copied:
            peer.copies.add(f"{self.address}/{handle}")
        self.moves.append(f"{move['Id']} from {self.name} to {move['To']}: {status}")
        writer.write(json_response(status, {"handle": handle, "Created": 1}))

    async def run(
        self, message: Message, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Stream the events of a run, from its start or from where it was stopped."""
        memory = message.headers.get("kv-from")
        if memory is not None and not self.has_memory(memory):
            self.runs.remove(run)
            writer.write(response(503, {"X-Agatehoist-Not-Executed": "1"}))
            return
        self.stopping.discard(run.request_id)
        headers = {
            **self.answer_headers(run),
            "X-Agatehoist-Weight-Versions": str(self.versions[self.model]),
        }
        lines = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}{CHUNKED}\r\n".encode())
        first = int(message.headers.get("last-event-id", "0"))
        for number in range(first + 1, EVENTS + 1):
            if run.request_id in self.stopping:
                writer.close()
                return
            writer.write(chunk(f"id: {number}\ndata: t{number}\n\n"))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")

    def has_memory(self, name: str) -> bool:
        """Return whether a run can go on here from a copy or from what it left."""
        source, _, handle = name.partition("/")
        if source == self.address:
            return 0 < int(handle) <= self._handles
        return name in self.copies


def chunk(text: str) -> bytes:
    """Return a chunk of a body."""
    return f"{len(text):x}\r\n{text}\r\n".encode()
