"""Callers that keep their connections as long as they can."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import AnswerGarbledError, ConnectionFailedError
from agatehoist.http1.types import RequestHead
from soak.invariants import STREAMED
from soak.types import Seen, Sent
from standins.users_platform.serving import HOST
from standins.users_platform.world import KEY, MODEL

if TYPE_CHECKING:
    import random

    from soak.testbed import Scene

PATIENCE_S = 15.0
LEAVING_SHARE = 0.1
PAUSE_S = 0.03
KINDS = ("look", "post", "trace", "credit")
PROMPTS = 6


class Callers:
    """Send requests until cancelled and keep what came back."""

    def __init__(self, scene: Scene, rng: random.Random) -> None:
        self.seen: list[Seen] = []
        self._scene = scene
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Send one request after the other, from connection to connection."""
        while True:
            gateway = self._rng.choice(self._scene.gateways)
            try:
                port = self._scene.fleet.ports_by_name[gateway]
                connection = ClientConnection(await connect(HOST, port))
            except ConnectionFailedError:
                await anyio.sleep(PAUSE_S)
                continue
            try:
                while await self.ask(connection, gateway):  # noqa: ASYNC110
                    await anyio.sleep(self._rng.uniform(0, PAUSE_S))
            finally:
                connection.close()

    async def ask(
        self, connection: ClientConnection, gateway: str, kind: str = ""
    ) -> bool:
        """Send one request and say whether another one may follow."""
        sent = Sent(
            f"r{next(self._numbers)}",
            kind or self._rng.choice(KINDS),
            self._scene.path_version,
            gateway,
            time.monotonic(),
            self._scene.undisturbed_since(gateway),
        )
        status, body, whole = 0, bytearray(), False
        leaves = self._rng.random() < LEAVING_SHARE and not kind
        patience_s = self._rng.uniform(0, 0.5) if leaves else PATIENCE_S
        try:
            with anyio.move_on_after(patience_s):
                await connection.send(*self._request(sent))
                status = (await connection.read_head()).status
                while (data := await connection.read_data()) is not None:
                    body += data
                whole = True
        except (ConnectionFailedError, AnswerGarbledError):
            whole = False
        finally:
            self.seen.append(Seen(sent, status, bytes(body), whole, time.monotonic()))
        return whole and connection.release()

    def _request(self, sent: Sent) -> tuple[RequestHead, bytes]:
        path = f"/{sent.kind}/x"
        if sent.kind == "look":
            path = f"/look-{sent.path_version}/x"
        headers = {
            "host": "a.example",
            "api-key": KEY,
            "x-agatehoist-request-id": sent.request_id,
            "content-length": "0",
        }
        if sent.kind in STREAMED:
            prompt = self._rng.randrange(PROMPTS)
            headers |= {
                "x-agatehoist-model-name": MODEL,
                "x-agatehoist-token-count": "130,5",
                "x-agatehoist-prompt-prefix": f"a{prompt}:100,b{prompt}:30",
            }
        method = b"GET" if sent.kind == "look" else b"POST"
        pairs = tuple((n.encode(), v.encode()) for n, v in headers.items())
        return RequestHead(method, path.encode(), pairs), b""
