"""Lists and watches of stored objects, with retries when they fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.gateway.store_follow import StoreFollower
from agatehoist.gateway.store_roles import STORE_ROLES, StoreRole
from agatehoist.observability.logs import get_logger
from agatehoist.storage.backoff import Backoff
from agatehoist.storage.errors import HistoryLostError, PlatformError
from agatehoist.storage.objects import Changes, Listing
from agatehoist.storage.revisions import NO_REVISION

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.topics import Topic
    from agatehoist.storage.revisions import Revision

logger = get_logger("gateway")

# Changes come in bursts; this delay lets one watch return a whole burst. All nodes
# watch again after a burst, so the delay grows with their number: 1,000 nodes with four
# watches each make at most 2,000 calls a second, the rate limit of the store. The fifth
# watch is that of the shares of software versions, which seldom change.
BATCH_DELAY_S = 0.05
BATCH_DELAY_S_PER_NODE = 0.002
# A process counts as starting for this long; see Topic.
STARTUP_S = 6.0
# The store closes watches when it discards its history, maybe several times in a row. A
# watch that begins at that moment gets no error and waits in vain until it times out,
# so the first watch after a failure or a loss of history is short. So are watches that
# peers answer, since each of them first waits for the store itself in vain.
RECOVERY_WATCH_S = 0.3
FIRST_RETRY_DELAY_S = 0.1
# Followers must not wait longer for a change than a node that watches for itself, so a
# watcher notices a dead connection earlier.
WATCHER_WATCH_S = 1.2
ROLE_CHECK_INTERVAL_S = 60.0
# A configuration must be in force within two seconds of the store's recovery.
MAX_RETRY_DELAY_S = 0.8


async def follow_store(state: GatewayState) -> None:
    """Keep all topics up to date until cancelled, in the role that the node has."""
    while True:
        role = state.store_role
        logger.info("store role", role=role, watchers=len(state.watchers))
        async with anyio.create_task_group() as task_group:
            STORE_ROLES[role](state, task_group)
            while state.store_role == role:
                await state.nodes_changed.wait(ROLE_CHECK_INTERVAL_S)
            task_group.cancel_scope.cancel()


@STORE_ROLES.register(StoreRole.ALONE)
def _watch_for_itself(state: GatewayState, task_group: TaskGroup) -> None:
    """Watch all topics for this node only."""
    state.feed.stop_serving()
    for name in state.feed.topics_by_name:
        task_group.start_soon(_follow_topic, state, name)


@STORE_ROLES.register(StoreRole.WATCHER)
def _watch_for_all(state: GatewayState, task_group: TaskGroup) -> None:
    """Watch all topics and pass the changes on to nodes that ask."""
    state.feed.start_serving()
    for name in state.feed.topics_by_name:
        # The replicas are filled by whole lists.
        state.feed.revisions_by_topic[name] = NO_REVISION
        task_group.start_soon(_follow_topic, state, name)


@STORE_ROLES.register(StoreRole.FOLLOWER)
def _follow_watchers(state: GatewayState, task_group: TaskGroup) -> None:
    """Read all topics through the watchers."""
    state.feed.stop_serving()
    task_group.start_soon(StoreFollower(state).run)


async def _follow_topic(state: GatewayState, name: str) -> None:
    topic = state.feed.topics_by_name[name]
    backoff = Backoff(state.rng, FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
    revision = state.feed.revisions_by_topic[name]
    is_store_reachable = True
    is_watch_short = False
    while True:
        is_watch_short = is_watch_short or state.store.is_failing
        watch_s = RECOVERY_WATCH_S if is_watch_short else _watch_s(state, topic)
        try:
            update = await _read(state, name, revision, watch_s)
        except HistoryLostError:
            logger.info(
                "history lost, listing again", topic=name, revision=str(revision)
            )
            revision = NO_REVISION
            is_watch_short = True
            continue
        except PlatformError as error:
            if is_store_reachable:
                logger.warning("store lost", topic=name, reason=str(error))
                state.feed.renew_watches()
            is_store_reachable = False
            is_watch_short = True
            now = state.clock.now()
            state.feed.outages.note_failure(error, now)
            state.feed.note_lost(name, now)
            await anyio.sleep(max(0, backoff.retry_at(now) - now))
            continue
        if update is None:
            is_watch_short = True
            continue
        if not is_store_reachable:
            logger.info("store regained", topic=name, revision=str(update.revision))
        is_store_reachable = True
        state.note_store_reply()
        backoff.reset()
        revision = update.revision
        # A list is followed by a short watch as well.
        is_watch_short = is_watch_short and isinstance(update, Listing)
        state.feed.note_contact(name, _watch_s(state, topic), state.clock.now())
        state.feed.apply(state, {name: update})
        if isinstance(update, Changes) and update.changes:
            await anyio.sleep(_batch_delay_s(state, topic))


def _batch_delay_s(state: GatewayState, topic: Topic) -> float:
    delay_s = max(BATCH_DELAY_S, BATCH_DELAY_S_PER_NODE * len(state.nodes))
    if state.clock.now() < state.started_at + STARTUP_S:
        return max(delay_s, topic.startup_batch_delay_s)
    return delay_s


def _watch_s(state: GatewayState, topic: Topic) -> float:
    if state.store_role is StoreRole.WATCHER:
        return min(topic.watch_s, WATCHER_WATCH_S)
    return topic.watch_s


async def _read(
    state: GatewayState, name: str, revision: Revision, watch_s: float
) -> Listing | Changes | None:
    """Return a whole list, the changes, or None if the watch is to be renewed."""
    kind = state.feed.topics_by_name[name].kind(state.platform.kinds)
    if revision == NO_REVISION:
        return await state.store.list(kind)
    if watch_s <= RECOVERY_WATCH_S:
        return await state.store.watch(kind, revision, watch_s)
    with state.feed.renewable_watch(name):
        return await state.store.watch(kind, revision, watch_s)
    return None
