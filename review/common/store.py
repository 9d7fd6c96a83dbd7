"""The platform's store as a stand-in: objects, watches and conditional writes."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote, urlsplit

from wire import HttpServer, json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from wire import Message

PATH = "/agatehoist/objects/"
HISTORY_S = 20.0
# How long a channel on which an answer is lost stays open.
LOST_S = 60.0


class Store(HttpServer):
    """Hold objects by kind and name; each change increases the revision.

    `on_write` is called with the kind, the name and the value of each write of the
    system that was carried out; if it returns false, the write gets no answer, and its
    channel carries nothing further.
    """

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        # While set, calls are carried out without an answer.
        self.is_cut_off = False
        self.on_write: Callable[[str, str, Any], bool] = lambda *_: True
        self._history: list[tuple[float, int, str, dict[str, Any], bool]] = []
        self._dropped_revision = 0
        self._changed = asyncio.Event()
        self._watching: dict[asyncio.StreamWriter, str] = {}

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, as the operator or a runner does."""
        before = self.objects.setdefault(kind, {}).get(name)
        if before is not None and before["Spec"] == spec:
            return before
        self.revision += 1
        created = before["Metadata"]["Created"] if before else self.revision
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind][name] = stored
        self._note(kind, stored, deleted=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._note(kind, self.objects[kind].pop(name), deleted=True)

    def _note(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self._history.append((time.monotonic(), self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def cut_watches(self, kind: str) -> int:
        """Close the channels of the waiting watches of a kind; return their number."""
        writers = [each for each, watched in self._watching.items() if watched == kind]
        for writer in writers:
            writer.close()
        return len(writers)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call of the system."""
        url = urlsplit(message.target)
        kind, _, name = unquote(url.path.removeprefix(PATH)).partition("/")
        query = dict(parse_qsl(url.query))
        if message.method == "GET":
            self._watching[writer] = kind
            status, value = await self._read(kind, name, query)
            self._watching.pop(writer, None)
        else:
            status, value = self._write(message, kind, name)
        if self.is_cut_off:
            await asyncio.sleep(LOST_S)
            raise ConnectionResetError
        is_done = message.method != "GET" and status == 200
        if is_done and not self.on_write(kind, value["Metadata"]["Name"], value):
            await asyncio.sleep(LOST_S)
            raise ConnectionResetError
        writer.write(json_response(status, value))

    async def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        objects = self.objects.get(kind, {})
        if "Watch" in query:
            after, wait_s = int(query["Watch"]), int(query["WaitMs"]) / 1000
            events = await self._events_after(kind, after, wait_s)
            if events is None:
                return 410, {}
            return 200, {"Events": events, "CurrentRev": self.revision}
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        items = [objects[n] for n in sorted(objects) if n > query.get("after", "")]
        return 200, {"items": items, "HasMore": False, "CurrentRev": self.revision}

    async def _events_after(
        self, kind: str, after: int, wait_s: float
    ) -> list[dict[str, Any]] | None:
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            self._drop_history()
            if after < self._dropped_revision:
                return None
            events = [
                {"Object": stored, "Deleted": deleted}
                for _, revision, each, stored, deleted in self._history
                if each == kind and revision > after
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return events
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _drop_history(self) -> None:
        while self._history and self._history[0][0] < time.monotonic() - HISTORY_S:
            self._dropped_revision = self._history.pop(0)[1]

    def _write(
        self, message: Message, kind: str, name: str
    ) -> tuple[int, dict[str, Any]]:
        objects = self.objects.setdefault(kind, {})
        value = json.loads(message.body)
        if message.method == "POST":
            name = value["Metadata"]["Name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, value["Spec"])
        if name not in objects:
            return 404, {}
        expected = value["Metadata"].get("Revision")
        if expected not in (None, objects[name]["Metadata"]["Revision"]):
            return 409, objects[name]
        return 200, self.put(kind, name, value["Spec"])
