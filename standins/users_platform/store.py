"""Store stand-in: versioned objects, conditional writes and watches."""

from __future__ import annotations

import copy
import itertools
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote, urlsplit

import anyio

from standins.users_platform.loopback import serve_requests

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel
    from agatehoist.http1.server import ServerConnection
    from agatehoist.http1.types import Request

PATH = "/agatehoist/objects/"
PAGE_OBJECTS = 500
JSON = ((b"content-type", b"application/json"),)


@dataclass(frozen=True, slots=True)
class RawJson:
    """Hold a JSON text that is sent as it is, as the value of any field."""

    text: str


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold a copy of the objects of a store."""

    objects_by_kind: dict[str, dict[str, dict[str, Any]]]
    revision: int


class StoreStandIn:
    """Hold objects in memory, and inject the faults that its attributes set.

    With an era above 0, all answers state it. `restore` begins the next one.

    The next unanswered_writes writes take effect but get no reply, and the next
    watches_without_events watches wait until their timeout. throttled_call_interval n
    answers every nth call with 429.
    """

    def __init__(self) -> None:
        self.objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.era = 0
        self.calls: list[str] = []
        self.down = False
        self.unanswered_writes = 0
        self.throttled_call_interval = 0
        self.watches_without_events = 0
        self._kinds_by_watch: dict[int, str] = {}
        self._silent_watches: set[int] = set()
        self._watch_numbers = itertools.count()
        self._abort_count = 0
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._oldest_revision = 1
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object unconditionally, as the operators or an endpoint would."""
        self.revision += 1
        stored = {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": spec}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._append_event(kind, stored, False)
        return stored

    def replace_stored(self, kind: str, name: str, stored: Any) -> None:
        """Replace an object, and what its event tells, by any value."""
        before = self.objects_by_kind[kind][name]
        self.objects_by_kind[kind][name] = stored
        self._history = [
            (revision, each, stored if value is before else value, removed)
            for revision, each, value, removed in self._history
        ]

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        self._append_event(kind, self.objects_by_kind[kind].pop(name), True)

    def spec(self, kind: str, name: str) -> Any:
        """Return the Spec of an object, or None if there is no such object."""
        stored = self.objects_by_kind.get(kind, {}).get(name)
        return stored["Spec"] if stored else None

    def copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        return StoreCopy(copy.deepcopy(self.objects_by_kind), self.revision)

    def restore(self, copied: StoreCopy) -> None:
        """Come back from a copy: what was written since is lost, revisions go back."""
        self.era += 1
        self.objects_by_kind = copy.deepcopy(copied.objects_by_kind)
        self.revision = copied.revision
        self.abort_watches()
        self.compact_history()

    def compact_history(self) -> None:
        """Drop all past events, so that watches from older revisions end with 410."""
        self._history.clear()
        self._oldest_revision = self.revision + 1
        self._notify_watches()

    def abort_watches(self) -> None:
        """Abort the connections of all pending watches."""
        self._abort_count += 1
        self._notify_watches()

    @property
    def pending_watches(self) -> int:
        """Return how many watches are waiting."""
        return len(self._kinds_by_watch)

    def silence_watches(self, kind: str) -> None:
        """Let the pending watches of a kind wait for ever, as on a dead connection."""
        self._silent_watches.update(
            number for number, each in self._kinds_by_watch.items() if each == kind
        )

    async def serve(self, channel: Channel) -> None:
        """Serve a connection until it ends."""
        await serve_requests(channel, self._answer)

    async def _answer(self, connection: ServerConnection, request: Request) -> None:
        url = urlsplit(request.head.target.decode())
        kind, _, name = unquote(url.path.removeprefix(PATH)).partition("/")
        method = request.head.method.decode()
        self.calls.append(f"{method} {kind}")
        if self.down:
            await connection.send_reply(503, self._era_headers(), b"")
            return
        if (
            self.throttled_call_interval
            and len(self.calls) % self.throttled_call_interval == 0
        ):
            await connection.send_reply(429, self._era_headers(), b"")
            return
        query = dict(parse_qsl(url.query))
        body = json.loads(request.body) if request.body else {}
        abort_count = self._abort_count
        status, value = await self._handle_call(method, kind, name, query, body)
        if "Watch" in query and abort_count != self._abort_count:
            connection.abort()
            return
        if method != "GET" and self.unanswered_writes:
            self.unanswered_writes -= 1
            connection.abort()
            return
        headers = (*JSON, *self._era_headers())
        await connection.send_reply(status, headers, _encode(value))

    def _era_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"store-era", str(self.era).encode()),) if self.era else ()

    async def _handle_call(
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
        stored = self.objects_by_kind[kind].get(name)
        if stored is None:
            return 404, {}
        expected = body["Metadata"].get("Revision")
        if expected not in (None, stored["Metadata"]["Revision"]):
            return 409, stored
        return 200, self.put(kind, name, body["Spec"])

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        abort_count = self._abort_count
        reports_events = not self.watches_without_events
        self.watches_without_events = max(0, self.watches_without_events - 1)
        number = next(self._watch_numbers)
        self._kinds_by_watch[number] = kind
        with anyio.move_on_after(wait_ms / 1000):
            while number in self._silent_watches or (
                abort_count == self._abort_count
                and not (reports_events and self._watch_can_end(kind, after))
            ):
                await self._changed.wait()
        del self._kinds_by_watch[number]
        if self._is_compacted(after):
            return 410, {}
        events = self._events(kind, after)
        return 200, {"Events": events, "CurrentRev": self.revision}

    def _watch_can_end(self, kind: str, after: int) -> bool:
        return self._is_compacted(after) or bool(self._events(kind, after))

    def _is_compacted(self, after: int) -> bool:
        return after + 1 < self._oldest_revision

    def _events(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            {"Object": stored, "Deleted": removed}
            for revision, each, stored, removed in self._history
            if each == kind and revision > after
        ]

    def _append_event(self, kind: str, stored: dict[str, Any], removed: bool) -> None:
        self._history.append((self.revision, kind, stored, removed))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _encode(value: Any) -> bytes:
    raw_texts: list[str] = []

    def encode_raw(each: Any) -> str:
        if not isinstance(each, RawJson):
            raise TypeError(f"{type(each).__name__} can't be encoded")
        raw_texts.append(each.text)
        return f"raw text {len(raw_texts)}"

    text = json.dumps(value, default=encode_raw)
    for number, raw_text in enumerate(raw_texts, 1):
        text = text.replace(f'"raw text {number}"', raw_text)
    return text.encode("utf-8", "surrogateescape")
