"""Calls of the platform's object API and host list."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import cattrs
import httpx

from agatehoist.core.trust import tls_context
from agatehoist.platform.errors import (
    ConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnavailableError,
)
from agatehoist.platform.types import HostEntry, StoredObject

if TYPE_CHECKING:
    from agatehoist.settings.types import PlatformSettings

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 30.0


class PlatformClient:
    """Read, write and watch objects of the platform."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._http = httpx.AsyncClient(
            base_url=settings.url,
            timeout=CALL_TIMEOUT_S,
            verify=tls_context(settings.url),
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object.

        Raises ObjectNotFoundError or PlatformUnavailableError.
        """
        answer = await self._call("GET", f"/objects/{kind}/{name}")
        return cattrs.structure(answer.json(), StoredObject)

    async def put(self, kind: str, name: str, value: Any, version: int) -> StoredObject:
        """Write an object that is at the version; zero creates it.

        Raises ConflictError or PlatformUnavailableError.
        """
        answer = await self._call(
            "PUT",
            f"/objects/{kind}/{name}",
            json={"value": value},
            headers={"If-Match": str(version)},
        )
        return cattrs.structure(answer.json(), StoredObject)

    async def watch(self, kind: str, name: str, version: int) -> StoredObject | None:
        """Return the object once it is past the version, or None after a while.

        Raises PlatformUnavailableError.
        """
        answer = await self._call(
            "GET",
            f"/watch/{kind}/{name}",
            params={"after": version, "timeout": WATCH_TIMEOUT_S},
            timeout=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if answer.status_code == HTTPStatus.NO_CONTENT:
            return None
        return cattrs.structure(answer.json(), StoredObject)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the lagging list of endpoint hosts.

        Raises PlatformUnavailableError.
        """
        answer = await self._call("GET", "/hosts")
        return cattrs.structure(answer.json(), tuple[HostEntry, ...])

    async def _call(self, method: str, path: str, **options: Any) -> httpx.Response:
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
