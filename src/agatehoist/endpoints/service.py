"""Client of an HTTP service that is not a model engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx

from agatehoist.core.byte_budget import ByteBudget
from agatehoist.core.clock import SystemClock
from agatehoist.core.tls import tls_context
from agatehoist.endpoints.errors import EndpointFailedError, EndpointNotReachedError
from agatehoist.endpoints.kinds import ENDPOINT_KINDS
from agatehoist.endpoints.types import EndpointStatus
from agatehoist.http1.exchange import SINGLE_USE, UNENCODED, exchange

if TYPE_CHECKING:
    from agatehoist.core.work import CallWork
    from agatehoist.http1.types import Reply

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
# Of a whole call, whose reply may come slowly.
CALL_TIMEOUT_S = 60.0
# A reply and its headers must fit into one frame of the inner protocol.
MAX_REPLY_BYTES = 7 * 1024 * 1024
# Of all replies that are being read; smaller ones are read beside any others.
MAX_BUFFERED_BYTES = 12 * 1024 * 1024
SMALL_REPLY_BYTES = 64 * 1024

# content-length is no hop-by-hop header, but httpx sets it for requests, and the router
# for replies.
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding", "upgrade"}
)


@ENDPOINT_KINDS.register("service")
class ServiceClient:
    """Run calls on one service."""

    def __init__(self, url: str) -> None:
        self._budget = ByteBudget(MAX_BUFFERED_BYTES, SMALL_REPLY_BYTES, SystemClock())
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._http = httpx.AsyncClient(
            base_url=url,
            timeout=timeout,
            limits=SINGLE_USE,
            verify=tls_context(url),
            headers=UNENCODED,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def status(self) -> EndpointStatus:
        """Return a constant status, as services report no incarnation."""
        return EndpointStatus("service", "")

    async def call(self, work: CallWork) -> Reply:
        """Return the complete reply to one call.

        Raises EndpointError.
        """
        try:
            return await exchange(
                self._http,
                work.method,
                work.path,
                MAX_REPLY_BYTES,
                CALL_TIMEOUT_S,
                self._budget,
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
