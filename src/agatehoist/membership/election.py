"""Choice of the few processes that call the platform for the others."""

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

DUTIES: Registry[Any] = Registry("duty")


@DUTIES.register("watch_configuration")
class WatchConfiguration:
    """Watch the configuration."""

    count = WATCHERS_PER_DATA_CENTRE


@DUTIES.register("poll_hosts")
class PollHosts:
    """Poll the host list."""

    count = POLLERS_PER_DATA_CENTRE


def elected(
    duty: str, data_centre: str, entries: Iterable[HostEntry]
) -> tuple[str, ...]:
    """Return the hosts of a data centre that have a duty, first rank first."""
    candidates = [
        Candidate(each.host, each.data_centre)
        for each in entries
        if each.data_centre == data_centre and each.state is HostState.LIVE
    ]
    key = f"{duty}/{data_centre}".encode()[:64]
    return tuple(each.host for each in rank(key, candidates, DUTIES[duty].count))


def has_duty(
    duty: str, own: str, data_centre: str, entries: Iterable[HostEntry]
) -> bool:
    """Say whether a process has a duty, alone if its data centre lists nobody."""
    hosts = elected(duty, data_centre, entries)
    return not hosts or own in hosts
