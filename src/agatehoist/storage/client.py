"""Calls of the platform's object API and host list."""

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
        self._flights = SingleFlight()
        self.calls_by_purpose: Counter[Purpose] = Counter()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(
        self, kind: str, name: str, purpose: Purpose = Purpose.OTHER
    ) -> StoredObject:
        """Return an object as it is after the call began.

        Raises ObjectNotFoundError or PlatformUnavailableError.
        """
        answer = await self._call(purpose, "GET", f"/objects/{kind}/{name}")
        return _decode(answer, StoredObject)

    async def names(
        self, kind: str, purpose: Purpose = Purpose.OTHER
    ) -> tuple[str, ...]:
        """Return the names of the objects of a kind.

        Raises PlatformUnavailableError.
        """
        answer = await self._call(purpose, "GET", f"/objects/{kind}")
        return _decode(answer, tuple[str, ...])

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        version: int,
        purpose: Purpose = Purpose.OTHER,
    ) -> StoredObject:
        """Write an object that is at the version; zero creates it.

        Raises ConflictError or PlatformUnavailableError.
        """
        answer = await self._call(
            purpose,
            "PUT",
            f"/objects/{kind}/{name}",
            json={"value": value},
            headers={"If-Match": str(version)},
        )
        return _decode(answer, StoredObject)

    async def delete(
        self, kind: str, name: str, purpose: Purpose = Purpose.OTHER
    ) -> None:
        """Remove an object.

        Raises PlatformUnavailableError.
        """
        await self._call(purpose, "DELETE", f"/objects/{kind}/{name}")

    async def watch(
        self, kind: str, name: str, version: int, purpose: Purpose = Purpose.OTHER
    ) -> StoredObject | None:
        """Return the object once it is past the version, or None after a while.

        Raises PlatformUnavailableError.
        """
        answer = await self._call(
            purpose,
            "GET",
            f"/watch/{kind}/{name}",
            params={"after": version, "timeout": WATCH_TIMEOUT_S},
            timeout=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if answer.status_code == HTTPStatus.NO_CONTENT:
            return None
        return _decode(answer, StoredObject)

    async def hosts(self, purpose: Purpose = Purpose.HOSTS) -> tuple[HostEntry, ...]:
        """Return the lagging list of endpoint hosts.

        Raises PlatformUnavailableError.
        """
        read = partial(self._call, purpose, "GET", "/hosts")
        answer = await self._flights.run("/hosts", read)
        return _decode(answer, tuple[HostEntry, ...])

    async def _call(
        self, purpose: Purpose, method: str, path: str, **options: Any
    ) -> httpx.Response:
        await self._wait_for_budget(purpose)
        outcome = "failed"
        try:
            answer = await self._request(method, path, **options)
            outcome = "answered"
        except (ConflictError, ObjectNotFoundError):
            outcome = "answered"
            raise
        finally:
            self.calls_by_purpose[purpose] += 1
            PLATFORM_CALLS_TOTAL.inc({"purpose": str(purpose), "outcome": outcome})
        return answer

    async def _wait_for_budget(self, purpose: Purpose) -> None:
        now = anyio.current_time()
        sent_at = self._budget.take(purpose, now)
        if sent_at > now + MAX_BUDGET_WAIT_S:
            self._budget.give_back(purpose)
            raise BudgetExhaustedError(f"too many calls for {purpose}")
        if sent_at > now:
            await anyio.sleep_until(sent_at)

    async def _request(self, method: str, path: str, **options: Any) -> httpx.Response:
        try:
            answer = await self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error!r}") from error
        if answer.status_code == HTTPStatus.NOT_FOUND:
            raise ObjectNotFoundError(path)
        if answer.status_code == HTTPStatus.PRECONDITION_FAILED:
            raise ConflictError(path)
        if answer.is_server_error:
            raise PlatformUnavailableError(f"{method} {path}: {answer.status_code}")
        if answer.is_error:
            raise PlatformError(f"{method} {path}: {answer.status_code}")
        return answer


def _decode(answer: httpx.Response, target: Any) -> Any:
    try:
        value = answer.json()
        if typing.get_origin(target) is tuple and not isinstance(value, list):
            raise TypeError("no list")
        return cattrs.structure(value, target)
    except Exception as error:
        # A write may have taken effect, so this counts as a lost answer.
        raise PlatformUnavailableError(f"answer not understood: {error!r}") from error
