"""Store of objects with versions, conditions and watches."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote, urlsplit

import anyio

from standins.users_platform.serving import serve_requests

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.server import ServerConnection
    from agatehoist.http1.types import Request

PATH = "/agatehoist/objects/"
PAGE_OBJECTS = 500
JSON = ((b"content-type", b"application/json"),)


class StoreStandIn:
    """Keep objects in memory; faults are switched by its attributes."""

    def __init__(self) -> None:
        self.objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.calls: list[str] = []
        self.down = False
        self.loses_writes = 0
        self.busy_every = 0
        self.misses_watches = 0
        self.watches_waiting = 0
        self._cuts = 0
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest = 1
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operators or an endpoint would."""
        self.revision += 1
        kept = {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": spec}
        self.objects_by_kind.setdefault(kind, {})[name] = kept
        self._note(kind, kept, False)
        return kept

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._note(kind, self.objects_by_kind[kind].pop(name), True)

    def spec(self, kind: str, name: str) -> Any:
        """Return what an object holds, or None."""
        kept = self.objects_by_kind.get(kind, {}).get(name)
        return kept["Spec"] if kept else None

    def forget_history(self) -> None:
        """Let all watches end, since nothing of the past is known any more."""
        self._history.clear()
        self._oldest = self.revision + 1
        self._wake()

    def cut_watches(self) -> None:
        """Break off all watches that wait."""
        self._cuts += 1
        self._wake()

    async def serve(self, channel: Channel) -> None:
        """Serve a connection."""
        await serve_requests(channel, self._answer)

    async def _answer(self, connection: ServerConnection, request: Request) -> None:
        url = urlsplit(request.head.target.decode())
        kind, _, name = unquote(url.path.removeprefix(PATH)).partition("/")
        method = request.head.method.decode()
        self.calls.append(f"{method} {kind}")
        if self.down:
            await connection.send_reply(503, (), b"")
            return
        if self.busy_every and len(self.calls) % self.busy_every == 0:
            await connection.send_reply(429, (), b"")
            return
        query = dict(parse_qsl(url.query))
        body = json.loads(request.body) if request.body else {}
        cuts = self._cuts
        status, value = await self._call(method, kind, name, query, body)
        if "Watch" in query and cuts != self._cuts:
            connection.abort()
            return
        if method != "GET" and self.loses_writes:
            self.loses_writes -= 1
            connection.abort()
            return
        await connection.send_reply(status, JSON, json.dumps(value).encode())

    async def _call(
        self, method: str, kind: str, name: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        objects = self.objects_by_kind.setdefault(kind, {})
        if method == "POST":
            created = body["Metadata"]["Name"]
            if created in objects:
                return 409, objects[created]
            return 200, self.put(kind, created, body["Spec"])
        if method == "PUT":
            return self._replace(kind, name, body)
        if "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query["WaitMs"]))
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        return 200, self._page(objects, query.get("after", ""))

    def _page(self, objects: dict[str, dict[str, Any]], after: str) -> dict[str, Any]:
        names = [each for each in sorted(objects) if each > after]
        items = [objects[each] for each in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return {"items": items, "HasMore": more, "CurrentRev": self.revision}

    def _replace(self, kind: str, name: str, body: Any) -> tuple[int, Any]:
        kept = self.objects_by_kind[kind].get(name)
        if kept is None:
            return 404, {}
        expected = body["Metadata"].get("Revision")
        if expected not in (None, kept["Metadata"]["Revision"]):
            return 409, kept
        return 200, self.put(kind, name, body["Spec"])

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        cuts = self._cuts
        hears = not self.misses_watches
        self.misses_watches = max(0, self.misses_watches - 1)
        self.watches_waiting += 1
        with anyio.move_on_after(wait_ms / 1000):
            while cuts == self._cuts and not (hears and self._has_news(kind, after)):
                await self._changed.wait()
        self.watches_waiting -= 1
        if self._has_forgotten(after):
            return 410, {}
        events = self._events(kind, after)
        return 200, {"Events": events, "CurrentRev": self.revision}

    def _has_news(self, kind: str, after: int) -> bool:
        return self._has_forgotten(after) or bool(self._events(kind, after))

    def _has_forgotten(self, after: int) -> bool:
        return after + 1 < self._oldest

    def _events(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"Object": kept, "Deleted": removed}
            for revision, each, kept, removed in self._history
            if each == kind and revision > after
        ]

    def _note(self, kind: str, kept: dict[str, Any], removed: bool) -> None:
        self._history.append((self.revision, kind, kept, removed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
