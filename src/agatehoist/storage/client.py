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

from agatehoist.core.tls import tls_context
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
    from agatehoist.settings.types import PlatformSettings

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 30.0
MAX_BUDGET_WAIT_S = 5.0


class PlatformClient:
    """Read, write and watch objects of the platform."""

    def __init__(
        self, settings: PlatformSettings, budget: CallBudget | None = None
    ) -> None:
        self._http = httpx.AsyncClient(
            base_url=settings.url,
            timeout=CALL_TIMEOUT_S,
            verify=tls_context(settings.url),
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
        response = await self._call(purpose, "GET", f"/objects/{kind}/{name}")
        return _decode(response, StoredObject)

    async def names(
        self, kind: str, purpose: Purpose = Purpose.OTHER
    ) -> tuple[str, ...]:
        """Return the names of the objects of a kind.

        Raises PlatformUnavailableError.
        """
        response = await self._call(purpose, "GET", f"/objects/{kind}")
        return _decode(response, tuple[str, ...])

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
        response = await self._call(
            purpose,
            "PUT",
            f"/objects/{kind}/{name}",
            json={"value": value},
            headers={"If-Match": str(version)},
        )
        return _decode(response, StoredObject)

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
        response = await self._call(
            purpose,
            "GET",
            f"/watch/{kind}/{name}",
            params={"after": version, "timeout": WATCH_TIMEOUT_S},
            timeout=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if response.status_code == HTTPStatus.NO_CONTENT:
            return None
        return _decode(response, StoredObject)

    async def hosts(self, purpose: Purpose = Purpose.HOSTS) -> tuple[HostEntry, ...]:
        """Return the list of endpoint hosts, which lags behind their real state.

        Raises PlatformUnavailableError.
        """
        fetch_hosts = partial(self._call, purpose, "GET", "/hosts")
        response = await self._host_reads.run("/hosts", fetch_hosts)
        return _decode(response, tuple[HostEntry, ...])

    async def _call(
        self, purpose: Purpose, method: str, path: str, **options: Any
    ) -> httpx.Response:
        await self._wait_for_budget(purpose)
        outcome = "failed"
        try:
            response = await self._send(method, path, **options)
            outcome = "answered"
        except (ConflictError, ObjectNotFoundError):
            outcome = "answered"
            raise
        finally:
            self.calls_by_purpose[purpose] += 1
            # platform.store has HTTP methods and statuses in these labels.
            PLATFORM_CALLS_TOTAL.inc({"purpose": str(purpose), "outcome": outcome})
        return response

    async def _wait_for_budget(self, purpose: Purpose) -> None:
        now = anyio.current_time()
        allowed_at = self._budget.reserve(purpose, now)
        if allowed_at > now + MAX_BUDGET_WAIT_S:
            self._budget.cancel_reservation(purpose)
            raise BudgetExhaustedError(f"call budget for {purpose} is exhausted")
        if allowed_at > now:
            await anyio.sleep_until(allowed_at)

    async def _send(self, method: str, path: str, **options: Any) -> httpx.Response:
        try:
            response = await self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error!r}") from error
        if response.status_code == HTTPStatus.NOT_FOUND:
            raise ObjectNotFoundError(path)
        if response.status_code == HTTPStatus.PRECONDITION_FAILED:
            raise ConflictError(path)
        if response.is_server_error:
            raise PlatformUnavailableError(
                f"{method} {path}: status {response.status_code}"
            )
        if response.is_error:
            raise PlatformError(f"{method} {path}: status {response.status_code}")
        return response


def _decode(response: httpx.Response, target: Any) -> Any:
    try:
        value = response.json()
        if typing.get_origin(target) is tuple and not isinstance(value, list):
            raise TypeError("response is not a list")
        return cattrs.structure(value, target)
    except Exception as error:
        # A write may have taken effect, just as if no response had arrived.
        raise PlatformUnavailableError(f"invalid response: {error!r}") from error
