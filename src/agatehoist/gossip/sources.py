"""Reads of the platform by the processes that are elected to do so."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.configuration.encoding import pack_record, parse_record
from agatehoist.configuration.errors import BadRecordError
from agatehoist.configuration.store import CONFIGURATION_KIND, CONFIGURATION_NAME
from agatehoist.gossip.topics import host_list_version
from agatehoist.gossip.types import Item, Topic
from agatehoist.membership.encoding import pack_hosts
from agatehoist.observability.logs import get_logger
from agatehoist.storage.backoff import Backoff
from agatehoist.storage.budget import Purpose
from agatehoist.storage.errors import ObjectNotFoundError, PlatformError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.gossip.node import GossipNode
    from agatehoist.storage.client import PlatformClient

logger = get_logger("gossip")

HOST_LIST_POLL_INTERVAL_S = 2.0
DUTY_CHECK_INTERVAL_S = 5.0


async def watch_configuration(node: GossipNode, platform: PlatformClient) -> None:
    """Watch the configuration while this process has the duty."""

    async def watch() -> None:
        found = await platform.watch(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            node.version(Topic.CONFIGURATION),
            Purpose.CONFIGURATION,
        )
        if found is None:
            return
        record = parse_record(found.value, found.version)
        payload = pack_record(record)
        node.accept_items([Item(Topic.CONFIGURATION, found.version, payload)])

    await _run_duty(node, "watch_configuration", watch)


async def poll_hosts(node: GossipNode, platform: PlatformClient) -> None:
    """Poll the host list while this process has the duty."""

    async def poll() -> None:
        # The version of the list is the time before the call. With the time after it,
        # a process suspended between call and answer would give an old list a new
        # version.
        read_at = node.view.clock.now()
        entries = await platform.hosts()
        ordered = tuple(sorted(entries, key=lambda each: each.host))
        if ordered != node.view.hosts or not node.view.has_hosts:
            payload = pack_hosts(ordered)
            node.accept_items([Item(Topic.HOSTS, host_list_version(read_at), payload)])
        await anyio.sleep(HOST_LIST_POLL_INTERVAL_S * node.rng.uniform(0.75, 1.25))

    await _run_duty(node, "poll_hosts", poll)


async def _run_duty(
    node: GossipNode, duty: str, read: Callable[[], Awaitable[None]]
) -> None:
    """Repeat a read of the platform while this process has the duty.

    The read itself waits for a change or for the next poll.
    """
    backoff = Backoff(node.rng)
    while True:
        if not node.has_duty(duty):
            with anyio.move_on_after(DUTY_CHECK_INTERVAL_S):
                await node.view.wait_changed()
            continue
        try:
            await read()
            backoff.reset()
        except (PlatformError, BadRecordError) as error:
            if not isinstance(error, ObjectNotFoundError):
                logger.warning("platform read failed", duty=duty, reason=str(error))
            await anyio.sleep_until(backoff.retry_at(anyio.current_time()))
