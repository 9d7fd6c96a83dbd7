"""Election of the few processes that read the platform on behalf of all.

A duty is a task that only the elected processes of a data centre carry out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from agatehoist.placement.ranking import rank
from agatehoist.placement.types import Candidate
from agatehoist.storage.types import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from agatehoist.storage.types import HostEntry

WATCHERS_PER_DATA_CENTRE = 2
POLLERS_PER_DATA_CENTRE = 1
# A gateway whose watcher fails asks that of another data centre.
STORE_WATCHERS_PER_DATA_CENTRE = 1

DUTIES: Registry[Any] = Registry("duty")


@DUTIES.register("watch_configuration")
class WatchConfiguration:
    """Define how many processes per data centre watch the configuration."""

    count = WATCHERS_PER_DATA_CENTRE


@DUTIES.register("poll_hosts")
class PollHosts:
    """Define how many processes per data centre poll the host list."""

    count = POLLERS_PER_DATA_CENTRE


@DUTIES.register("watch_store")
class WatchStore:
    """Define how many gateways per data centre watch the store for the others."""

    count = STORE_WATCHERS_PER_DATA_CENTRE


def elected_hosts(
    duty: str, data_centre: str, entries: Iterable[HostEntry]
) -> tuple[str, ...]:
    """Return the hosts of a data centre that have a duty, highest rank first."""
    candidates = [
        Candidate(entry.host, entry.data_centre)
        for entry in entries
        if entry.data_centre == data_centre and entry.state is HostState.LIVE
    ]
    # BLAKE2b, which ranks the hosts, takes keys of at most 64 bytes.
    key = f"{duty}/{data_centre}".encode()[:64]
    return tuple(entry.host for entry in rank(key, candidates, DUTIES[duty].count))


def has_duty(
    duty: str, own_host: str, data_centre: str, entries: Iterable[HostEntry]
) -> bool:
    """Return whether a process has a duty.

    Every process of a data centre has it if the list has no live host there.
    """
    hosts = elected_hosts(duty, data_centre, entries)
    return not hosts or own_host in hosts
