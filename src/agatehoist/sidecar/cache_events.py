"""Following of an engine's cache events."""

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

FOLLOW_RETRY_S = 0.5
RESYNC_INTERVAL_S = 1.0
LISTING_INTERVAL_S = 30.0


class CacheFollower:
    """Keep the cache picture of a sidecar close to its engine."""

    def __init__(self, state: SidecarState, client: EngineClient) -> None:
        self._state = state
        self._client = client
        self._doubted = Wakeup()

    async def run(self) -> None:
        """Follow the events and list the blocks whenever the picture is in doubt.

        An engine that tells nothing of its cache is left alone.
        """
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._follow)
                task_group.start_soon(self._resync)
        except* EndpointRejectedError as group:
            reasons = [str(error) for error in group.exceptions]
            logger.info("engine tells nothing of its cache", reasons=reasons)

    def check(self) -> None:
        """Ask for a listing if the picture is in doubt."""
        if self._state.picture.resync_needed:
            self._doubted.set()

    async def _follow(self) -> None:
        while True:
            self._state.picture.request_resync()
            self.check()
            try:
                await self._apply_events()
            except EndpointRejectedError:
                raise
            except EndpointError as error:
                logger.debug("no cache events", reason=str(error))
            await self._state.refresh_status()
            await anyio.sleep(FOLLOW_RETRY_S)

    async def _apply_events(self) -> None:
        picture = self._state.picture
        async with aclosing(self._client.cache.events()) as events:
            async for event in events:
                if event.epoch != picture.epoch:
                    await self._state.refresh_status()
                picture.apply(event)
                self.check()

    async def _resync(self) -> None:
        while True:
            # A lost event is not missed while no other follows it.
            await self._doubted.wait(LISTING_INTERVAL_S)
            try:
                await self._list_blocks()
            except EndpointRejectedError:
                raise
            except EndpointError as error:
                logger.debug("no listing", reason=str(error))
            await anyio.sleep(RESYNC_INTERVAL_S)
            self.check()

    async def _list_blocks(self) -> None:
        listing = await self._client.cache.listing()
        if listing.epoch != self._state.picture.epoch:
            await self._state.refresh_status()
        self._state.picture.resync(listing)


async def follow_cache(state: SidecarState) -> None:
    """Keep the cache picture close to the endpoint if that is an engine."""
    if not isinstance(state.client, EngineClient):
        return
    state.cache_follower = CacheFollower(state, state.client)
    await state.cache_follower.run()
