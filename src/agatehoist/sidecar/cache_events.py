"""Synchronisation of the cache index with the cache events of an engine."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from agatehoist.core.wakeup import Wakeup
from agatehoist.endpoints.engine import EngineClient
from agatehoist.endpoints.errors import EndpointError, EndpointRejectedError
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from agatehoist.sidecar.state import SidecarState

logger = get_logger("sidecar")

EVENT_STREAM_RETRY_S = 0.5
MIN_LISTING_PAUSE_S = 1.0
MAX_LISTING_INTERVAL_S = 30.0


class CacheFollower:
    """Update the cache index from the engine's events and block listings."""

    def __init__(self, state: SidecarState, client: EngineClient) -> None:
        self._state = state
        self._client = client
        self._listing_requested = Wakeup()

    async def run(self) -> None:
        """Follow the events and list all blocks whenever the index needs a resync.

        Return if the engine rejects the requests, as it then has no cache API.
        """
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._follow)
                task_group.start_soon(self._list_blocks_when_needed)
        except* EndpointRejectedError as group:
            reasons = [str(error) for error in group.exceptions]
            logger.info(
                "engine has no cache API; cache events are not followed",
                reasons=reasons,
            )

    def wake_resync_if_needed(self) -> None:
        """Wake the listing task if the index needs a block listing."""
        if self._state.cache_index.resync_needed:
            self._listing_requested.set()

    async def _follow(self) -> None:
        while True:
            self._state.cache_index.request_resync()
            self.wake_resync_if_needed()
            try:
                await self._apply_events()
            except EndpointRejectedError:
                raise
            except EndpointError as error:
                logger.debug("cache event stream failed", reason=str(error))
            await self._state.refresh_status()
            await anyio.sleep(EVENT_STREAM_RETRY_S)

    async def _apply_events(self) -> None:
        cache_index = self._state.cache_index
        async with aclosing(self._client.cache.events()) as events:
            async for event in events:
                # Another cache epoch means a restart or other weights.
                if event.epoch != cache_index.epoch:
                    await self._state.refresh_status()
                cache_index.apply(event)
                self.wake_resync_if_needed()

    async def _list_blocks_when_needed(self) -> None:
        while True:
            # A lost event is detected only when another one follows, so the blocks
            # are listed at this interval as well.
            await self._listing_requested.wait(MAX_LISTING_INTERVAL_S)
            try:
                await self._list_blocks()
            except EndpointRejectedError:
                raise
            except EndpointError as error:
                logger.debug("block listing failed", reason=str(error))
            await anyio.sleep(MIN_LISTING_PAUSE_S)
            self.wake_resync_if_needed()

    async def _list_blocks(self) -> None:
        listing = await self._client.cache.listing()
        if listing.epoch != self._state.cache_index.epoch:
            await self._state.refresh_status()
        self._state.cache_index.resync(listing)


async def follow_cache(state: SidecarState) -> None:
    """Keep the cache index up to date if the endpoint is an engine."""
    if not isinstance(state.client, EngineClient):
        return
    state.cache_follower = CacheFollower(state, state.client)
    await state.cache_follower.run()
