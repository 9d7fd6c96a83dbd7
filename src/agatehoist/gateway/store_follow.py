"""Reading of the store's objects through the nodes that watch it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.errors import AgatehoistError
from agatehoist.gateway.watchers import watchers_to_ask
from agatehoist.http1.types import RequestHead
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.store_feed import (
    FEED_TARGET,
    FeedRequest,
    decode_reply,
    encode_request,
)
from agatehoist.storage.errors import HistoryLostError, PlatformError
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from http import HTTPStatus

    from agatehoist.core.address import Address
    from agatehoist.gateway.state import GatewayState
    from agatehoist.protocol.store_feed import FeedReply, Update

logger = get_logger("gateway")

# A reply without changes after this time shows that the watcher is alive.
POLL_WAIT_S = 0.6
POLL_TIMEOUT_S = 1.0
# Changes come in bursts; this delay lets one reply return a whole burst.
BATCH_DELAY_S = 0.05
# A watcher that has failed isn't asked again for this time.
AVOID_WATCHER_S = 3.0
# While no watcher answers, the store is read directly this often.
DIRECT_READ_INTERVAL_S = 0.5
DIRECT_WATCH_S = 0.05
MAX_REPLY_BYTES = 16 * 1024 * 1024
STATUS_OK = 200


class WatcherFailedError(AgatehoistError):
    """Report a watcher that gave no updates."""


class StoreFollower:
    """Read all topics from a watcher, or from the store while no watcher answers."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._avoided_until_by_watcher: dict[Address, float] = {}
        self._source = ""

    async def run(self) -> None:
        """Keep all topics up to date until cancelled."""
        while True:
            watcher = self._choose()
            if watcher is None:
                self._state.feed.outages.note_unavailable(self._state.clock.now())
                await self._read_store()
                await anyio.sleep(DIRECT_READ_INTERVAL_S)
                continue
            try:
                reply = await self._ask(watcher)
            except AgatehoistError as error:
                logger.info("store feed lost", watcher=str(watcher), reason=str(error))
                now = self._state.clock.now()
                self._avoided_until_by_watcher[watcher] = now + AVOID_WATCHER_S
                continue
            self._note_source(str(watcher))
            self._state.note_store_reply()
            self._state.feed.apply(self._state, reply.updates_by_topic)
            if reply.updates_by_topic:
                await anyio.sleep(BATCH_DELAY_S)

    def _choose(self) -> Address | None:
        settings = self._state.settings
        now = self._state.clock.now()
        asked = watchers_to_ask(
            settings.inner, settings.data_centre, self._state.watchers
        )
        allowed = (
            each
            for each in asked
            if self._avoided_until_by_watcher.get(each, 0.0) <= now
        )
        return next(allowed, None)

    async def _ask(self, watcher: Address) -> FeedReply:
        request = FeedRequest(POLL_WAIT_S, dict(self._state.feed.revisions_by_topic))
        body = encode_request(request)
        headers = (
            (b"host", str(watcher).encode()),
            (b"content-length", str(len(body)).encode()),
        )
        try:
            with anyio.fail_after(POLL_TIMEOUT_S):
                reply = await self._state.pool.exchange(
                    str(watcher),
                    watcher,
                    RequestHead(b"POST", FEED_TARGET, headers),
                    body,
                    MAX_REPLY_BYTES,
                )
        except TimeoutError as error:
            raise WatcherFailedError("no reply in time") from error
        status: HTTPStatus | int = reply.head.status
        if status != STATUS_OK:
            raise WatcherFailedError(f"status {status}")
        return decode_reply(reply.body)

    async def _read_store(self) -> None:
        """Read each topic once from the store; what can't be read is left for later."""
        state = self._state
        for name, topic in state.feed.topics_by_name.items():
            kind = topic.kind(state.platform.kinds)
            revision = state.feed.revisions_by_topic[name]
            update: Update
            try:
                if revision != NO_REVISION:
                    update = await state.store.watch(kind, revision, DIRECT_WATCH_S)
                else:
                    update = await state.store.list(kind)
            except HistoryLostError:
                state.feed.revisions_by_topic[name] = NO_REVISION
                continue
            except PlatformError as error:
                logger.info("store not read", topic=name, reason=str(error))
                state.feed.outages.note_failure(error, state.clock.now())
                return
            state.note_store_reply()
            state.feed.apply(state, {name: update})
        self._note_source("store")

    def _note_source(self, source: str) -> None:
        if source != self._source:
            logger.info("store read through", source=source, before=self._source)
            self._source = source
