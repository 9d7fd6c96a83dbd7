"""Client of the cache API of an engine."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import httpx

from agatehoist.cache.types import BlockListing, CacheEpoch, CacheEvent, KvExport
from agatehoist.core.json_text import read_json
from agatehoist.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointRejectedError,
)
from agatehoist.http1.exchange import exchange, read_lines, start_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Sequence

EVENTS_PATH = "/cache/events"
BLOCKS_PATH = "/cache/blocks"
EXPORT_PATH = "/cache/export"
IMPORT_PATH = "/cache/import"
# The longest pause within the event stream.
EVENTS_TIMEOUT_S = 20.0
LISTING_TIMEOUT_S = 5.0
TRANSFER_TIMEOUT_S = 10.0
# Enough for some 200,000 block hashes.
MAX_REPLY_BYTES = 16 * 1024 * 1024


class EngineCacheClient:
    """Follow the cache events of an engine and list, export or import its blocks."""

    def __init__(self, http: httpx.AsyncClient) -> None:
        self._http = http

    async def events(self) -> AsyncGenerator[CacheEvent]:
        """Yield the changes of the engine's cache from the time of the request on.

        Raises EndpointError.
        """
        try:
            request = self._http.build_request(
                "GET", EVENTS_PATH, timeout=EVENTS_TIMEOUT_S
            )
            response = await start_exchange(self._http, request, EVENTS_TIMEOUT_S)
            async with aclosing(response):
                _check_status(response.status_code)
                async for line in read_lines(response, MAX_REPLY_BYTES):
                    if line.strip():
                        yield _read_event(read_json(line))
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise EndpointFailedError(
                f"cache event stream failed: {error!r}"
            ) from error

    async def listing(self) -> BlockListing:
        """Return every block that the engine holds.

        Raises EndpointError.
        """
        try:
            reply = await exchange(
                self._http, "GET", BLOCKS_PATH, MAX_REPLY_BYTES, LISTING_TIMEOUT_S
            )
            _check_status(reply.head.status)
            fields = read_json(reply.body)
            return BlockListing(
                _read_epoch(fields), fields["sequence"], tuple(fields["blocks"])
            )
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise EndpointFailedError(f"block listing failed: {error!r}") from error

    async def export(self, block_hashes: Sequence[str]) -> KvExport:
        """Export the leading blocks, of a list of hashes, that the engine holds.

        Raises EndpointError.
        """
        fields = await self._post(EXPORT_PATH, {"blocks": list(block_hashes)})
        try:
            return KvExport(_read_epoch(fields), tuple(fields["blocks"]))
        except (KeyError, TypeError) as error:
            raise EndpointFailedError(
                f"invalid response to a block export: {error!r}"
            ) from error

    async def import_blocks(self, kv_export: KvExport) -> None:
        """Import exported blocks; the engine refuses those of another weights version.

        Raises EndpointError.
        """
        body = {
            "weights_version": kv_export.epoch.weights_version,
            "blocks": list(kv_export.blocks),
        }
        await self._post(IMPORT_PATH, body)

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            reply = await exchange(
                self._http,
                "POST",
                path,
                MAX_REPLY_BYTES,
                TRANSFER_TIMEOUT_S,
                json=body,
            )
            _check_status(reply.head.status)
            return read_json(reply.body)
        except (httpx.HTTPError, ValueError) as error:
            raise EndpointFailedError(f"block transfer failed: {error!r}") from error


def _check_status(status: int) -> None:
    if httpx.codes.is_client_error(status):
        raise EndpointRejectedError(f"engine answered {status}")
    if not httpx.codes.is_success(status):
        raise EndpointError(f"engine answered {status}")


def _read_event(fields: dict[str, Any]) -> CacheEvent:
    return CacheEvent(
        _read_epoch(fields),
        fields["sequence"],
        tuple(fields["stored"]),
        tuple(fields["removed"]),
    )


def _read_epoch(fields: dict[str, Any]) -> CacheEpoch:
    return CacheEpoch(fields["incarnation"], fields["weights_version"])
