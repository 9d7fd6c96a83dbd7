"""Lists and watches of stored objects, with retries when they fail."""

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

# Changes come in bursts; this delay lets one watch return a whole burst. All nodes
# watch again after a burst, so the delay grows with their number: 1,000 nodes with four
# watches each make at most 2,000 calls a second, the rate limit of the store.
BATCH_DELAY_S = 0.05
BATCH_DELAY_S_PER_NODE = 0.002
# The store closes watches when it discards its history. A watch that begins at that
# moment gets no error and waits in vain until it times out, so the first watch after a
# failure is short.
RECOVERY_WATCH_S = 0.3
FIRST_RETRY_DELAY_S = 0.1
# A configuration must be in force within two seconds of the store's recovery.
MAX_RETRY_DELAY_S = 0.8


async def follow_store(state: GatewayState) -> None:
    """Keep all topics up to date until cancelled."""
    async with anyio.create_task_group() as task_group:
        for name in TOPICS:
            task_group.start_soon(_follow_topic, state, TOPICS[name](), str(name))


async def _follow_topic(state: GatewayState, topic: Topic, name: str) -> None:
    kind = topic.kind(state.platform.kinds)
    backoff = Backoff(state.rng, FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
    revision: int | None = None
    is_store_reachable = True
    while True:
        try:
            watch_s = topic.watch_s if is_store_reachable else RECOVERY_WATCH_S
            update = await _read(state, kind, revision, watch_s)
        except HistoryLostError:
            logger.info("history lost, listing again", topic=name, revision=revision)
            revision = None
            continue
        except PlatformError as error:
            if is_store_reachable:
                logger.warning("store lost", topic=name, reason=str(error))
            is_store_reachable = False
            now = state.clock.now()
            await anyio.sleep(max(0, backoff.retry_at(now) - now))
            continue
        if not is_store_reachable:
            logger.info("store regained", topic=name, revision=update.revision)
            state.fleet.start_grace_period(state.clock.now())
        is_store_reachable = True
        backoff.reset()
        revision = update.revision
        if isinstance(update, Listing):
            topic.replace(state, update)
            continue
        topic.change(state, update)
        if update.changes:
            await anyio.sleep(
                max(BATCH_DELAY_S, BATCH_DELAY_S_PER_NODE * len(state.nodes))
            )


async def _read(
    state: GatewayState, kind: str, revision: int | None, watch_s: float
) -> Listing | Changes:
    if revision is None:
        return await state.store.list(kind)
    return await state.store.watch(kind, revision, watch_s)
