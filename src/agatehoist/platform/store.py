"""Client of the platform's store of objects."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import anyio

from agatehoist.core.address import Address
from agatehoist.http1.errors import AnswerGarbledError, ConnectionFailedError
from agatehoist.http1.pool import Pool
from agatehoist.http1.types import RequestHead
from agatehoist.observability.metrics import PLATFORM_CALLS_TOTAL
from agatehoist.platform.names import OBJECTS_PATH
from agatehoist.storage.errors import (
    ConflictError,
    HistoryLostError,
    ObjectNotFoundError,
    PlatformUnavailableError,
)
from agatehoist.storage.objects import Change, Changes, Listing, StoredValue

if TYPE_CHECKING:
    from agatehoist.core.clock import Clock

# An answer takes 4 ms; under an outage it may take a hundred times as long.
CALL_TIMEOUT_S = 1.5
# How much longer than asked a watch may take before it counts as lost.
WATCH_MARGIN_S = 1.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
PEER = "store"
MS_PER_S = 1000


class PlatformStore:
    """Read, watch and write objects."""

    def __init__(self, address: Address, clock: Clock) -> None:
        self._address = address
        self._pool = Pool(clock)
        self._host = str(address).encode()

    def move(self, host: str, port: int) -> None:
        """Take another address of the store for the calls to come."""
        if (host, port) == (self._address.host, self._address.port):
            return
        self._address = Address(host, port)
        self._host = str(self._address).encode()
        self._pool.forget(PEER)

    async def list(self, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind; a stale list is cheap and seconds old.

        Raises PlatformUnavailableError.
        """
        found: list[StoredValue] = []
        after = ""
        while True:
            query = {"AllowStale": "1"} if stale else {}
            if after:
                query["after"] = after
            page = await self._call("GET", f"/{kind}", query)
            found += [_value(each) for each in _items(page, "items")]
            revision = _revision(page)
            if not page.get("HasMore") or not found:
                return Listing(tuple(found), revision)
            after = found[-1].name

    async def watch(self, kind: str, revision: int, timeout_s: float) -> Changes:
        """Return the changes after a revision, none if there were none in time.

        Raises HistoryLostError and PlatformUnavailableError.
        """
        query = {"Watch": revision, "WaitMs": int(timeout_s * MS_PER_S)}
        page = await self._call(
            "GET", f"/{kind}", query, timeout_s=timeout_s + WATCH_MARGIN_S
        )
        changes = [
            Change(_value(each.get("Object")), each.get("Deleted") is True)
            for each in _items(page, "Events")
        ]
        return Changes(tuple(changes), _revision(page))

    async def get(self, kind: str, name: str) -> StoredValue:
        """Return one object.

        Raises ObjectNotFoundError and PlatformUnavailableError.
        """
        return _value(await self._call("GET", f"/{kind}/{name}"))

    async def create(self, kind: str, name: str, spec: Any) -> StoredValue:
        """Create an object.

        Raises ConflictError and PlatformUnavailableError.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return _value(await self._call("POST", f"/{kind}", body=body))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredValue:
        """Write an object that is at a revision.

        Raises ConflictError, ObjectNotFoundError and PlatformUnavailableError.
        """
        body = {"Metadata": {"Name": name, "Revision": revision}, "Spec": spec}
        return _value(await self._call("PUT", f"/{kind}/{name}", body=body))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        outcome = "lost"
        try:
            with anyio.fail_after(timeout_s):
                status, answer = await self._exchange(method, path, query, body)
            outcome = str(status)
        except TimeoutError as error:
            raise PlatformUnavailableError(f"{method} {path}: no answer") from error
        except (ConnectionFailedError, AnswerGarbledError) as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        finally:
            PLATFORM_CALLS_TOTAL.inc({"purpose": method, "outcome": outcome})
        return _checked(f"{method} {path}", status, answer)

    async def _exchange(
        self, method: str, path: str, query: dict[str, Any] | None, body: Any
    ) -> tuple[int, bytes]:
        target = f"{OBJECTS_PATH}{path}"
        if query:
            target += f"?{urlencode(query)}"
        headers = [(b"host", self._host)]
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(data)).encode()))
        head = RequestHead(method.encode(), target.encode(), tuple(headers))
        address = self._address
        connection = await self._pool.take(PEER, address.host, address.port)
        try:
            await connection.send(head, data)
            reply = await connection.read_head()
            answer = await connection.read_body(MAX_ANSWER_BYTES)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(PEER, connection, None)
        return reply.status, answer


def _checked(call: str, status: int, answer: bytes) -> dict[str, Any]:
    if status == HTTPStatus.NOT_FOUND:
        raise ObjectNotFoundError(call)
    if status == HTTPStatus.CONFLICT:
        raise ConflictError(call)
    if status == HTTPStatus.GONE:
        raise HistoryLostError(call)
    if status >= HTTPStatus.BAD_REQUEST:
        raise PlatformUnavailableError(f"{call}: status {status}")
    try:
        value = json.loads(answer)
    except ValueError as error:
        raise PlatformUnavailableError(f"{call}: no JSON: {error}") from error
    if not isinstance(value, dict):
        raise PlatformUnavailableError(f"{call}: no object in the answer")
    return value


def _items(page: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = page.get(name)
    if not isinstance(items, list):
        raise PlatformUnavailableError(f"no {name} in an answer of the store")
    return [each for each in items if isinstance(each, dict)]


def _revision(page: dict[str, Any]) -> int:
    revision = page.get("CurrentRev")
    if not isinstance(revision, int):
        raise PlatformUnavailableError("no revision in an answer of the store")
    return revision


def _value(item: Any) -> StoredValue:
    metadata = item.get("Metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        raise PlatformUnavailableError("no metadata in an object of the store")
    name, revision = metadata.get("Name"), metadata.get("Revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        raise PlatformUnavailableError("no name or revision in an object of the store")
    return StoredValue(name, revision, item.get("Spec"))
