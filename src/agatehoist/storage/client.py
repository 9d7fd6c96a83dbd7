"""Client of the platform's object API and host list, used by routers and sidecars.

Gateways use platform.store.
"""

from __future__ import annotations

import typing
from collections import Counter
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import anyio
import cattrs
import httpx

from agatehoist.core.address import MAX_PORT
from agatehoist.core.document_reader import describe
from agatehoist.core.json_text import find_fault, read_json, read_json_of_many
from agatehoist.core.numbers import checked_integer
from agatehoist.core.tls import tls_context
from agatehoist.http1.exchange import UNENCODED, exchange
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import PLATFORM_CALLS_TOTAL
from agatehoist.storage.budget import CallBudget, Purpose
from agatehoist.storage.errors import (
    BudgetExhaustedError,
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
)
from agatehoist.storage.single_flight import SingleFlight
from agatehoist.storage.types import HostEntry, StoredObject

if TYPE_CHECKING:
    from agatehoist.http1.types import Reply
    from agatehoist.settings.types import PlatformSettings

logger = get_logger("platform")

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 30.0
MAX_BUDGET_WAIT_S = 5.0
MAX_REPLY_BYTES = 32 * 1024 * 1024
MAX_REASON_CHARACTERS = 500


class PlatformClient:
    """Read, write and watch objects of the platform."""

    def __init__(
        self, settings: PlatformSettings, budget: CallBudget | None = None
    ) -> None:
        self._http = httpx.AsyncClient(
            base_url=settings.url,
            timeout=CALL_TIMEOUT_S,
            verify=tls_context(settings.url),
            headers=UNENCODED,
        )
        self._budget = budget or CallBudget()
        self._host_reads = SingleFlight()
        self.calls_by_purpose: Counter[Purpose] = Counter()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(
        self, kind: str, name: str, purpose: Purpose = Purpose.OTHER
    ) -> StoredObject:
        """Return an object, read no earlier than the start of this call.

        Raises ObjectNotFoundError or PlatformUnavailableError.
        """
        reply = await self._call(purpose, "GET", f"/objects/{kind}/{name}")
        return _decode(reply, StoredObject)

    async def names(
        self, kind: str, purpose: Purpose = Purpose.OTHER
    ) -> tuple[str, ...]:
        """Return the names of the objects of a kind.

        Raises PlatformUnavailableError.
        """
        reply = await self._call(purpose, "GET", f"/objects/{kind}")
        return _decode(reply, tuple[str, ...])

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        version: int,
        purpose: Purpose = Purpose.OTHER,
    ) -> StoredObject:
        """Write an object if it is at the version; version 0 creates it.

        Raises ConflictError or PlatformUnavailableError.
        """
        reply = await self._call(
            purpose,
            "PUT",
            f"/objects/{kind}/{name}",
            json={"value": value},
            headers={"If-Match": str(version)},
        )
        return _decode(reply, StoredObject)

    async def delete(
        self, kind: str, name: str, purpose: Purpose = Purpose.OTHER
    ) -> None:
        """Remove an object.

        Raises ObjectNotFoundError or PlatformUnavailableError.
        """
        await self._call(purpose, "DELETE", f"/objects/{kind}/{name}")

    async def watch(
        self, kind: str, name: str, version: int, purpose: Purpose = Purpose.OTHER
    ) -> StoredObject | None:
        """Wait for a later version of an object; return None on timeout.

        Raises PlatformUnavailableError.
        """
        reply = await self._call(
            purpose,
            "GET",
            f"/watch/{kind}/{name}",
            params={"after": version, "timeout": WATCH_TIMEOUT_S},
            timeout_s=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if reply.head.status == HTTPStatus.NO_CONTENT:
            return None
        return _decode(reply, StoredObject)

    async def hosts(self, purpose: Purpose = Purpose.HOSTS) -> tuple[HostEntry, ...]:
        """Return the list of endpoint hosts, which lags behind their real state.

        Raises PlatformUnavailableError.
        """
        fetch_hosts = partial(self._call, purpose, "GET", "/hosts")
        reply = await self._host_reads.run("/hosts", fetch_hosts)
        return _decode_hosts(reply)

    async def _call(
        self, purpose: Purpose, method: str, path: str, **options: Any
    ) -> Reply:
        await self._wait_for_budget(purpose)
        outcome = "failed"
        try:
            reply = await self._send(method, path, **options)
            outcome = "answered"
        except (ConflictError, ObjectNotFoundError):
            outcome = "answered"
            raise
        finally:
            self.calls_by_purpose[purpose] += 1
            # platform.store has HTTP methods and statuses in these labels.
            PLATFORM_CALLS_TOTAL.inc({"purpose": str(purpose), "outcome": outcome})
        return reply

    async def _wait_for_budget(self, purpose: Purpose) -> None:
        now = anyio.current_time()
        allowed_at = self._budget.reserve(purpose, now)
        if allowed_at > now + MAX_BUDGET_WAIT_S:
            self._budget.cancel_reservation(purpose)
            raise BudgetExhaustedError(f"call budget for {purpose} is exhausted")
        if allowed_at > now:
            await anyio.sleep_until(allowed_at)

    async def _send(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        **options: Any,
    ) -> Reply:
        try:
            reply = await exchange(
                self._http,
                method,
                path,
                MAX_REPLY_BYTES,
                timeout_s,
                timeout=timeout_s,
                **options,
            )
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error!r}") from error
        status = reply.head.status
        if status == HTTPStatus.NOT_FOUND:
            raise ObjectNotFoundError(path)
        if status == HTTPStatus.PRECONDITION_FAILED:
            raise ConflictError(path)
        if httpx.codes.is_client_error(status):
            raise PlatformError(f"{method} {path}: status {status}")
        if not httpx.codes.is_success(status):
            raise PlatformUnavailableError(f"{method} {path}: status {status}")
        return reply


def _decode(reply: Reply, target: Any) -> Any:
    try:
        value = read_json(reply.body)
        if typing.get_origin(target) is tuple and not isinstance(value, list):
            raise TypeError("response is not a list")
        return cattrs.structure(value, target)
    except Exception as error:
        # A write may have taken effect, just as if no response had arrived.
        raise PlatformUnavailableError(_invalid_response(error)) from error


def _decode_hosts(reply: Reply) -> tuple[HostEntry, ...]:
    """Return the listed hosts; an entry that can't be read costs only itself.

    Raises PlatformUnavailableError.
    """
    try:
        items = read_json_of_many(reply.body)
        if not isinstance(items, list):
            raise TypeError("response is not a list")
    except Exception as error:
        raise PlatformUnavailableError(_invalid_response(error)) from error
    hosts = []
    for item in items:
        try:
            hosts.append(_decode_host(item))
        except Exception as error:
            logger.warning("host ignored", reason=f"{error!r}"[:MAX_REASON_CHARACTERS])
    if items and not hosts:
        raise PlatformUnavailableError("invalid response: no host can be read")
    return tuple(hosts)


def _decode_host(item: Any) -> HostEntry:
    fault = find_fault(item)
    if fault:
        raise ValueError(fault)
    entry = cattrs.structure(item, HostEntry)
    if not checked_integer(entry.port, MAX_PORT):
        raise ValueError(f"port {describe(entry.port)} is out of range")
    return entry


def _invalid_response(error: Exception) -> str:
    return f"invalid response: {error!r}"[:MAX_REASON_CHARACTERS]
