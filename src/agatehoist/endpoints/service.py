"""Client of an HTTP service that is not a model engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

from agatehoist.core.tls import tls_context
from agatehoist.endpoints.errors import EndpointFailedError, EndpointNotReachedError
from agatehoist.endpoints.kinds import ENDPOINT_KINDS
from agatehoist.endpoints.types import EndpointStatus

if TYPE_CHECKING:
    from agatehoist.core.work import CallWork

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0

# content-length is no hop-by-hop header, but httpx sets it for requests, and a response
# body that httpx has decoded has another length.
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding", "upgrade"}
)


@ENDPOINT_KINDS.register("service")
class ServiceClient:
    """Run calls on one service."""

    def __init__(self, url: str) -> None:
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._http = httpx.AsyncClient(
            base_url=url, timeout=timeout, verify=tls_context(url)
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def status(self) -> EndpointStatus:
        """Return a constant status, as services report no incarnation."""
        return EndpointStatus("service", "")

    async def call(self, work: CallWork) -> httpx.Response:
        """Return the complete response to one call.

        Raises EndpointError.
        """
        try:
            return await self._http.request(
                work.method,
                work.path,
                headers=drop_hop_by_hop_headers(work.headers_by_name),
                content=work.body,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise EndpointNotReachedError(
                f"could not connect to the service: {error!r}"
            ) from error
        except httpx.HTTPError as error:
            raise EndpointFailedError(
                f"request to the service failed: {error!r}"
            ) from error


def drop_hop_by_hop_headers(headers_by_name: dict[str, str]) -> dict[str, str]:
    """Return the headers that apply end to end, not only to one connection."""
    return {
        name: value
        for name, value in headers_by_name.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    }
