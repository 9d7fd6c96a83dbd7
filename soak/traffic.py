"""Callers that send requests over persistent connections."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import connect
from agatehoist.http1.client import ClientConnection
from agatehoist.http1.errors import ConnectionFailedError, InvalidReplyError
from agatehoist.http1.types import RequestHead
from soak.invariants import STREAMED_ROUTES
from soak.types import RequestResult, SentRequest
from standins.users_platform.harness import API_KEY, MODEL
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    import random

    from soak.testbed import Testbed

REQUEST_TIMEOUT_S = 15.0
ABANDONED_SHARE = 0.1
PAUSE_S = 0.03
ROUTES = ("look", "post", "trace", "credit")
PROMPT_COUNT = 6
# Share of the requests that hold a deadly part while there is one.
DEADLY_SHARE = 0.15


class Callers:
    """Send requests until cancelled and record their results."""

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self.results: list[RequestResult] = []
        self._testbed = testbed
        self._rng = rng
        self._request_numbers = itertools.count(1)

    async def run(self) -> None:
        """Send requests in sequence; open a new connection when one can't be reused."""
        while True:
            gateway = self._rng.choice(self._testbed.gateways)
            try:
                port = self._testbed.fleet.ports_by_name[gateway]
                connection = ClientConnection(await connect(HOST, port))
            except ConnectionFailedError:
                await anyio.sleep(PAUSE_S)
                continue
            try:
                while await self.send_request(connection, gateway):  # noqa: ASYNC110
                    await anyio.sleep(self._rng.uniform(0, PAUSE_S))
            finally:
                connection.close()

    async def send_request(
        self, connection: ClientConnection, gateway: str, route: str = ""
    ) -> bool:
        """Send one request; return whether its connection can be reused.

        Without a route, the request goes to a random one and may be abandoned early.
        """
        sent = SentRequest(
            f"r{next(self._request_numbers)}",
            route or self._rng.choice(ROUTES),
            self._testbed.path_version,
            gateway,
            time.monotonic(),
            self._testbed.fault_free_since(gateway),
            "" if route else self._choose_deadly_part(),
        )
        status, body, complete = 0, bytearray(), False
        abandons = self._rng.random() < ABANDONED_SHARE and not route
        timeout_s = self._rng.uniform(0, 0.5) if abandons else REQUEST_TIMEOUT_S
        try:
            with anyio.move_on_after(timeout_s):
                await connection.send(*self._build_request(sent))
                status = (await connection.read_head()).status
                while (data := await connection.read_data()) is not None:
                    body += data
                complete = True
        except (ConnectionFailedError, InvalidReplyError):
            complete = False
        finally:
            self.results.append(
                RequestResult(sent, status, bytes(body), complete, time.monotonic())
            )
        return complete and connection.prepare_next_request()

    def _choose_deadly_part(self) -> str:
        parts = sorted(self._testbed.harness.deadly_parts)
        if not parts or self._rng.random() >= DEADLY_SHARE:
            return ""
        return self._rng.choice(parts)

    def _build_request(self, sent: SentRequest) -> tuple[RequestHead, bytes]:
        path = f"/{sent.route}/x"
        if sent.route == "look":
            path = f"/look-{sent.path_version}/x"
        headers = {
            "host": "a.example",
            "api-key": API_KEY,
            "x-agatehoist-request-id": sent.request_id,
            "content-length": "0",
        }
        if sent.route in STREAMED_ROUTES:
            prompt = self._rng.randrange(PROMPT_COUNT)
            parts = [f"a{prompt}:100", f"b{prompt}:30"]
            if sent.deadly_part:
                parts.insert(1, f"{sent.deadly_part}:20")
            # Token counts: of the prompt and the answer, and of each prefix part.
            headers |= {
                "x-agatehoist-model-name": MODEL,
                "x-agatehoist-token-count": "150,5" if sent.deadly_part else "130,5",
                "x-agatehoist-prompt-prefix": ",".join(parts),
            }
        method = b"GET" if sent.route == "look" else b"POST"
        pairs = tuple((n.encode(), v.encode()) for n, v in headers.items())
        return RequestHead(method, path.encode(), pairs), b""
