"""Runners as stand-ins: model runners with orders, and application runners."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from wire import HttpServer, json_response, response

if TYPE_CHECKING:
    from store import Store
    from wire import Message

LOAD_S = 0.3


@dataclass(frozen=True)
class Order:
    """Hold an order as a runner received it; `at` is on the monotonic clock."""

    at: float
    runner: str
    holder: str
    token: int
    model: str
    version: int
    status: int


@dataclass(frozen=True)
class Run:
    """Hold a request that a runner began to run."""

    at: float
    runner: str
    request_id: str
    headers: dict[str, str] = field(repr=False)


class Runner(HttpServer):
    """Keep the entry of a runner in the store, and check what a request expects."""

    def __init__(
        self, host: str, name: str, service: str, store: Store, slots: int
    ) -> None:
        super().__init__(host)
        self.name = name
        self.service = service
        self.store = store
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.work_s = 0.0
        # The runs in progress.
        self.active: list[Run] = []

    def exit(self) -> tuple[Run, ...]:
        """End at once; return the runs that are broken off."""
        self.stop_listening()
        return tuple(self.active)

    def entry(self) -> dict[str, Any]:
        """Return what the runner writes about itself."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "east",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry to the store."""
        self.store.put("servers", self.name, self.entry())

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request, or reject one that expects another runner."""
        headers = message.headers
        if headers.get("x-agatehoist-expect-instance", self.name) != self.name:
            writer.write(response(421, {"X-Agatehoist-Instance-Id": self.name}))
            return
        await self.accept(message, writer)

    async def accept(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request that expects this runner."""
        run = self.new_run(message)
        self.runs.append(run)
        self.active.append(run)
        try:
            await self.run(message, run, writer)
        finally:
            self.active.remove(run)

    def new_run(self, message: Message) -> Run:
        """Return the record of a request."""
        request_id = message.headers.get("x-agatehoist-request-id", "")
        return Run(time.monotonic(), self.name, request_id, message.headers)

    def answer_headers(self, run: Run) -> dict[str, str]:
        """Return the headers of all answers to requests."""
        return {
            "X-Agatehoist-Request-Id": run.request_id,
            "X-Agatehoist-Server-Stamp": f"{self.name}.{run.request_id}",
        }

    async def run(
        self, message: Message, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{run.request_id} by {self.name}".encode()
        writer.write(response(200, self.answer_headers(run), body))


class ModelRunner(Runner):
    """Serve models, and load the weights that orders name, one order at a time."""

    def __init__(
        self, host: str, name: str, service: str, store: Store, *models: str
    ) -> None:
        super().__init__(host, name, service, store, 64)
        self.versions = dict.fromkeys(models, 1)
        self.seq_no = 0
        self.busy = False
        self.orders: list[Order] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def entry(self) -> dict[str, Any]:
        """Return what the runner writes about itself."""
        return {
            **super().entry(),
            "Stage": "colocated",
            "Models": self._models(),
            "SeqNo": self.seq_no,
        }

    async def accept(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a report, an order or a request."""
        if message.target == "/agatehoist/report":
            writer.write(json_response(200, self._report()))
        elif message.target == "/agatehoist/order":
            writer.write(response(self._take_order(json.loads(message.body)), {}))
        else:
            await super().accept(message, writer)

    def _models(self) -> list[dict[str, Any]]:
        return [
            {"Name": name, "Version": version, "Adapters": []}
            for name, version in self.versions.items()
        ]

    def _report(self) -> dict[str, Any]:
        return {
            "Stage": "colocated",
            "Models": self._models(),
            "Busy": self.busy,
            "SeqNo": self.seq_no,
            "Queued": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 104_000,
            "Handles": 0,
            "Runs": [],
            "born": self.born,
        }

    def _take_order(self, order: dict[str, Any]) -> int:
        status = self._status_of(order)
        self.orders.append(
            Order(
                time.monotonic(),
                self.name,
                order["Holder"],
                order["FencingToken"],
                order["Model"],
                order["Version"],
                status,
            )
        )
        if status == 202:
            self.busy = True
            self.seq_no += 1
            task = asyncio.create_task(self._load(order["Model"], order["Version"]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return status

    def _status_of(self, order: dict[str, Any]) -> int:
        if order["Version"] == self.versions[order["Model"]] and not self.busy:
            return 200
        if self.busy or order.get("ExpectedRev", self.seq_no) != self.seq_no:
            return 409
        return 202

    async def _load(self, model: str, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.versions[model] = version
        self.busy = False
        self.register()
