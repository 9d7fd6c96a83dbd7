"""Client of the platform's object store, used by gateways.

Routers and sidecars use storage.client.
"""

from __future__ import annotations

import json
import math
import random
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import anyio

from agatehoist.core.address import Address
from agatehoist.core.json_text import InvalidJsonError, find_fault, read_json_of_many
from agatehoist.core.numbers import checked_integer, read_integer
from agatehoist.core.units import MS_PER_S
from agatehoist.http1.errors import (
    ConnectionFailedError,
    InvalidReplyError,
    InvalidRequestError,
    ReplyEvictedError,
)
from agatehoist.http1.pool import ConnectionPool
from agatehoist.http1.types import Reply, ReplyHead, RequestHead
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import PLATFORM_CALLS_TOTAL
from agatehoist.platform import names
from agatehoist.platform.names import OBJECTS_PATH
from agatehoist.storage.backoff import Backoff
from agatehoist.storage.errors import (
    CallCutError,
    CallTimedOutError,
    ConflictError,
    HistoryLostError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
)
from agatehoist.storage.objects import Changes, Listing, ObjectChange, StoredValue
from agatehoist.storage.revisions import NO_REVISION, Revision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from agatehoist.core.clock import Clock

logger = get_logger("platform")

# A reply takes 4 ms; during an outage it may take a hundred times as long.
CALL_TIMEOUT_S = 1.5
# A watch that exceeds its wait time by this much counts as lost.
WATCH_MARGIN_S = 1.0
# A call that fails sooner wasn't kept waiting: the store rejected its connection.
MIN_HELD_S = 0.05
MAX_REPLY_BYTES = 4 * 1024 * 1024
# The store closes watches when it drops its history, and a call repeated at once may
# still be answered from the earlier state. Only reads that fail for longer are relayed.
RELAY_AFTER_S = 0.1
# Calls that the store rejects for its rate limit aren't relayed through peers, unless
# this goes on for so long that it may be rejecting only this machine.
RATE_LIMITED_RELAY_AFTER_S = 1.0
# Pages of a list are retried while the store rejects calls for its rate limit, since
# starting the list again would cost more calls. When all processes start together, all
# of them read the lists at once.
LIST_TIMEOUT_S = 10.0
FIRST_PAGE_RETRY_DELAY_S = 0.2
MAX_PAGE_RETRY_DELAY_S = 1.6
MAX_NAME_CHARACTERS = 1024
# Characters of names that a path holds as they are.
PATH_CHARACTERS = ":@!$&'()*+,;=~"
# The longest watch that a peer requests, plus the time for the reply.
RELAYED_READ_TIMEOUT_S = 31.0


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold the fields of a successful reply, the call and the era that it is from."""

    call_text: str
    fields: dict[str, Any]
    era: int

    def revision(self) -> Revision:
        """Return the revision of the store as of the reply.

        Raises PlatformUnavailableError.
        """
        number = checked_integer(self.fields.get("CurrentRev"))
        if number is None:
            raise PlatformUnavailableError(
                f"{self.call_text}: reply of the store has no revision"
            )
        return Revision(self.era, number)

    def values(self) -> list[StoredValue]:
        """Return the listed objects; one that can't be read costs only itself.

        Raises PlatformUnavailableError.
        """
        read = (self._value(each) for each in self._items("items"))
        return [each for each in read if each is not None]

    def changes(self) -> list[ObjectChange]:
        """Return the changes of objects; one that can't be read costs only itself.

        Raises PlatformUnavailableError.
        """
        changes = []
        for each in self._items("Events"):
            event = each if isinstance(each, dict) else {}
            value = self._value(event.get("Object"))
            if value is not None:
                changes.append(ObjectChange(value, event.get("Deleted") is True))
        return changes

    def only_value(self) -> StoredValue:
        """Return the object that the reply consists of.

        Raises PlatformUnavailableError.
        """
        value = self._value(self.fields)
        if value is None:
            raise PlatformUnavailableError(
                f"{self.call_text}: object of the store has no name"
            )
        return value

    def _items(self, name: str) -> list[Any]:
        items = self.fields.get(name)
        if not isinstance(items, list):
            raise PlatformUnavailableError(
                f"{self.call_text}: reply of the store has no list {name}"
            )
        return items

    def _value(self, item: Any) -> StoredValue | None:
        """Return a stored object, or None if it has no name.

        If it can't be read, it has no content, which no kind of object takes.
        """
        fields = item if isinstance(item, dict) else {}
        metadata = fields.get("Metadata")
        if not isinstance(metadata, dict):
            metadata = {}
        name = metadata.get("Name")
        if not isinstance(name, str) or len(name) > MAX_NAME_CHARACTERS:
            self._log_unreadable("", "no name")
            return None
        fault = find_fault(name)
        if fault:
            self._log_unreadable("", f"name: {fault}")
            return None
        spec = fields.get("Spec")
        fault = find_fault(spec)
        number = checked_integer(metadata.get("Revision"))
        if number is None:
            fault = "no revision"
            number = checked_integer(self.fields.get("CurrentRev")) or 0
        if fault:
            self._log_unreadable(name, fault)
            spec = None
        return StoredValue(name, Revision(self.era, number), spec)

    def _log_unreadable(self, name: str, fault: str) -> None:
        logger.warning(
            "stored object can't be read",
            call=self.call_text,
            name=name,
            reason=fault,
        )


class PlatformStore:
    """Read, watch and write objects; a read that fails is retried through a peer.

    The store may reject one machine, or be unreachable from it, while it serves others.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._failing_since = math.inf
        self._era = 0
        self._pool = ConnectionPool(clock)
        self._rng = random.Random()
        self.relays: Callable[[], Iterable[Address]] = tuple
        self.on_new_era: Callable[[], None] = lambda: None
        # Called when calls that were answered begin to fail.
        self.on_failing: Callable[[], None] = lambda: None

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed, or was answered through a peer."""
        return self._failing_since != math.inf

    def set_address(self, host: str, port: int) -> None:
        """Send later calls to another address of the store."""
        if (host, port) == (self._address.host, self._address.port):
            return
        self._pool.forget(str(self._address))
        self._address = Address(host, port)

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind; a stale list is cheaper but seconds old.

        Raises PlatformUnavailableError.
        """
        values: list[StoredValue] = []
        revision = NO_REVISION
        after = ""
        deadline = self._clock.now() + LIST_TIMEOUT_S
        while True:
            query = {"AllowStale": "1"} if allow_stale else {}
            if after:
                query["after"] = after
            answer = await self._read_page(kind, query, deadline)
            if after and answer.era != revision.era:
                # The pages of a list must be from one era.
                values, after = [], ""
                continue
            values += answer.values()
            # A watch from the first page's revision repeats changes made meanwhile.
            revision = revision if after else answer.revision()
            last = values[-1].name if values else ""
            if not answer.fields.get("HasMore") or not values:
                return Listing(tuple(values), revision)
            if last == after:
                raise PlatformUnavailableError(
                    f"GET /{kind}: no object after {after:.80} has a name"
                )
            after = last

    async def watch(self, kind: str, revision: Revision, timeout_s: float) -> Changes:
        """Return the changes after a revision, or none if none occur in time.

        Raises HistoryLostError and PlatformUnavailableError.
        """
        self._check_era(kind, revision)
        query = {"Watch": revision.number, "WaitMs": int(timeout_s * MS_PER_S)}
        answer = await self._call(
            "GET", f"/{kind}", query, timeout_s=timeout_s + WATCH_MARGIN_S
        )
        # The new era may have given out the same number for another state.
        self._check_era(kind, revision)
        return Changes(tuple(answer.changes()), answer.revision())

    def _check_era(self, kind: str, revision: Revision) -> None:
        if revision.era != self._era:
            raise HistoryLostError(
                f"{kind}: revision {revision} is not of the store's era {self._era}"
            )

    async def get(self, kind: str, name: str) -> StoredValue:
        """Return one object.

        Raises ObjectNotFoundError and PlatformUnavailableError.
        """
        return (await self._call("GET", f"/{kind}/{_quoted(name)}")).only_value()

    async def create(self, kind: str, name: str, spec: Any) -> StoredValue:
        """Create an object.

        Raises ConflictError and PlatformUnavailableError.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return (await self._call("POST", f"/{kind}", body=body)).only_value()

    async def replace(
        self, kind: str, name: str, spec: Any, revision: Revision
    ) -> StoredValue:
        """Write an object if it is at the revision.

        Raises ConflictError, ObjectNotFoundError and PlatformUnavailableError.
        """
        metadata = {"Name": name, "Revision": revision.number}
        body = {"Metadata": metadata, "Spec": spec}
        if revision.era < self._era:
            raise ConflictError(f"PUT /{kind}/{name}: {revision} is of an earlier era")
        path = f"/{kind}/{_quoted(name)}"
        answer = await self._call("PUT", path, body=body)
        if answer.era != revision.era:
            # The number happened to fit an object that this process has never read.
            raise ConflictError(f"PUT /{kind}/{name}: written in era {answer.era}")
        return answer.only_value()

    async def _read_page(
        self, kind: str, query: dict[str, Any], deadline: float
    ) -> _Answer:
        backoff = Backoff(self._rng, FIRST_PAGE_RETRY_DELAY_S, MAX_PAGE_RETRY_DELAY_S)
        while True:
            try:
                return await self._call("GET", f"/{kind}", query)
            except RateLimitedError:
                now = self._clock.now()
                retry_at = backoff.retry_at(now)
                if retry_at > deadline:
                    raise
                await anyio.sleep(retry_at - now)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer:
        target = f"{OBJECTS_PATH}{path}"
        if query:
            target += f"?{urlencode(query)}"
        call_text = f"{method} {path}"
        try:
            result = await self._call_once(
                call_text, method, target, body, self._address, timeout_s
            )
        except PlatformUnavailableError as error:
            rate_limited = isinstance(error, RateLimitedError)
            if not rate_limited and not self.is_failing:
                logger.info("store calls begin to fail", reason=str(error))
                self.on_failing()
            relay = self._choose_relay(
                RATE_LIMITED_RELAY_AFTER_S if rate_limited else RELAY_AFTER_S
            )
            if method != "GET" or relay is None:
                raise
            failure = error
        except PlatformError:
            self._failing_since = math.inf
            raise
        else:
            self._failing_since = math.inf
            return result
        try:
            return await self._call_once(
                call_text, method, target, body, relay, timeout_s
            )
        except PlatformUnavailableError as relay_error:
            # How the store itself failed tells more than how the peer did.
            raise failure from relay_error

    async def forward_read(self, target: bytes) -> Reply:
        """Forward a peer's read to the store; return the reply, whatever its status.

        Raises PlatformUnavailableError.
        """
        target_text = target.decode("ascii", "replace")
        if not target_text.startswith(f"{OBJECTS_PATH}/"):
            raise PlatformUnavailableError(f"GET {target_text:.80}: not an object path")
        call_text = f"relayed GET {target_text:.80}"
        reply = await self._send(
            call_text, "GET", target_text, None, self._address, RELAYED_READ_TIMEOUT_S
        )
        # The peer must learn from which era the objects are.
        era = reply.head.value(names.STORE_ERA)
        headers = () if era is None else ((names.STORE_ERA, era),)
        return Reply(ReplyHead(reply.head.status, headers), reply.body)

    async def _call_once(
        self,
        call_text: str,
        method: str,
        target: str,
        body: Any,
        address: Address,
        timeout_s: float,
    ) -> _Answer:
        reply = await self._send(call_text, method, target, body, address, timeout_s)
        self._note_era(call_text, reply.head)
        return _Answer(
            call_text,
            _decode_reply(call_text, reply.head.status, reply.body),
            _read_era(reply.head),
        )

    async def _send(
        self,
        call_text: str,
        method: str,
        target: str,
        body: Any,
        address: Address,
        timeout_s: float,
    ) -> Reply:
        outcome = "lost"
        sent_at = self._clock.now()
        try:
            with anyio.fail_after(timeout_s):
                reply = await self._exchange(method, target, body, address)
            outcome = str(reply.head.status)
        except TimeoutError as error:
            raise CallTimedOutError(f"{call_text}: timed out") from error
        except ConnectionFailedError as error:
            if self._clock.now() < sent_at + MIN_HELD_S:
                raise PlatformUnavailableError(f"{call_text}: {error}") from error
            raise CallCutError(f"{call_text}: {error}") from error
        except (InvalidReplyError, InvalidRequestError, ReplyEvictedError) as error:
            raise PlatformUnavailableError(f"{call_text}: {error}") from error
        finally:
            # storage.client has Purpose values and other outcomes in these labels.
            PLATFORM_CALLS_TOTAL.inc({"purpose": method, "outcome": outcome})
        return reply

    def _choose_relay(self, after_s: float) -> Address | None:
        """Return a random peer, or None until the store has failed for long enough.

        A single closed connection doesn't mean that the store is unreachable.
        """
        now = self._clock.now()
        self._failing_since = min(self._failing_since, now)
        if now < self._failing_since + after_s:
            return None
        relays = sorted(self.relays(), key=str)
        return self._rng.choice(relays) if relays else None

    def _note_era(self, call_text: str, head: ReplyHead) -> None:
        """Record the era of a reply.

        Raises PlatformUnavailableError if the reply is from an earlier one.
        """
        era = _read_era(head)
        if era > self._era:
            logger.warning("store era began", era=era, before=self._era)
            self._era = era
            self.on_new_era()
        if era < self._era and head.status < HTTPStatus.BAD_REQUEST:
            raise PlatformUnavailableError(
                f"{call_text}: answered in era {era}, after era {self._era} began"
            )

    async def _exchange(
        self, method: str, target: str, body: Any, address: Address
    ) -> Reply:
        headers = [(b"host", str(address).encode())]
        data = b""
        if body is not None:
            data = json.dumps(body).encode()
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(data)).encode()))
        head = RequestHead(method.encode(), target.encode(), tuple(headers))
        # Relayed reads are seconds apart, so a peer may be closing a kept connection.
        is_relayed = address != self._address
        return await self._pool.exchange(
            str(address), address, head, data, MAX_REPLY_BYTES, fresh=is_relayed
        )


def _quoted(name: str) -> str:
    return quote(name, safe=PATH_CHARACTERS)


def _read_era(head: ReplyHead) -> int:
    """Return the era that a reply of the store states, 0 if it states none."""
    return read_integer(head.value(names.STORE_ERA) or b"") or 0


def _decode_reply(call_text: str, status: int, reply_body: bytes) -> dict[str, Any]:
    if status == HTTPStatus.NOT_FOUND:
        raise ObjectNotFoundError(call_text)
    if status == HTTPStatus.CONFLICT:
        raise ConflictError(call_text)
    if status == HTTPStatus.GONE:
        raise HistoryLostError(call_text)
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise RateLimitedError(f"{call_text}: status {status}")
    if status >= HTTPStatus.MULTIPLE_CHOICES:
        raise PlatformUnavailableError(f"{call_text}: status {status}")
    try:
        value = read_json_of_many(reply_body)
    except InvalidJsonError as error:
        raise PlatformUnavailableError(f"{call_text}: {error}") from error
    if not isinstance(value, dict):
        raise PlatformUnavailableError(f"{call_text}: reply is not a JSON object")
    return value
