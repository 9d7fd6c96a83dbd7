"""Following of the store: lists, watches and what to do when they fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.topics import TOPICS, Topic
from agatehoist.observability.logs import get_logger
from agatehoist.storage.backoff import Backoff
from agatehoist.storage.errors import HistoryLostError, PlatformError
from agatehoist.storage.objects import Changes, Listing

if TYPE_CHECKING:
    from agatehoist.gateway.state import GatewayState

logger = get_logger("gateway")

# Changes come in bursts; one watch takes what arrives within this time. All nodes ask
# again after each burst, so that many wait longer: 1,000 nodes with four watches ask
# 2,000 times a second at most, which is the store's rate.
GATHER_S = 0.05
GATHER_S_PER_NODE = 0.002
# Watches are cut when the store drops its history, and one that is asked for in that
# instant waits to its end for changes that are gone.
FIRST_WATCH_S = 0.3
FIRST_RETRY_S = 0.1
# A configuration must be in force within two seconds of the store's return.
MAX_RETRY_S = 0.8


async def follow_store(state: GatewayState) -> None:
    """Follow all topics until cancelled."""
    async with anyio.create_task_group() as task_group:
        for name in TOPICS:
            task_group.start_soon(_follow, state, TOPICS[name](), str(name))


async def _follow(state: GatewayState, topic: Topic, name: str) -> None:
    kind = topic.kind(state.platform.kinds)
    backoff = Backoff(state.rng, FIRST_RETRY_S, MAX_RETRY_S)
    revision: int | None = None
    reached = True
    while True:
        try:
            watch_s = topic.watch_s if reached else FIRST_WATCH_S
            news = await _read(state, kind, revision, watch_s)
        except HistoryLostError:
            logger.info("history lost, listing again", topic=name, revision=revision)
            revision = None
            continue
        except PlatformError as error:
            if reached:
                logger.warning("store lost", topic=name, reason=str(error))
            reached = False
            now = state.clock.now()
            await anyio.sleep(max(0, backoff.retry_at(now) - now))
            continue
        if not reached:
            logger.info("store regained", topic=name, revision=news.revision)
            state.fleet.note_store_returned(state.clock.now())
        reached = True
        backoff.reset()
        revision = news.revision
        if isinstance(news, Listing):
            topic.replace(state, news)
            continue
        topic.change(state, news)
        if news.changes:
            await anyio.sleep(max(GATHER_S, GATHER_S_PER_NODE * len(state.nodes)))


async def _read(
    state: GatewayState, kind: str, revision: int | None, watch_s: float
) -> Listing | Changes:
    if revision is None:
        return await state.store.list(kind)
    return await state.store.watch(kind, revision, watch_s)
