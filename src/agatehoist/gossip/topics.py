"""What a process does with a new version of a topic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.configuration.encoding import unpack_record
from agatehoist.core.registry import Registry
from agatehoist.gossip.types import Topic
from agatehoist.membership.encoding import unpack_hosts
from agatehoist.membership.errors import BadHostListError

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.gossip.types import Item
    from agatehoist.membership.view import FleetView

    Take = Callable[[FleetView, Item], None]

MAX_CLOCK_SKEW_S = 5.0
VERSIONS_PER_S = 1000

TOPICS: Registry[Take] = Registry("topic")


@TOPICS.register(Topic.CONFIGURATION)
def take_configuration(view: FleetView, item: Item) -> None:
    """Put a configuration in force; its version is the revision.

    Raises BadRecordError.
    """
    view.accept_record(unpack_record(item.payload, item.version))


@TOPICS.register(Topic.HOSTS)
def take_hosts(view: FleetView, item: Item) -> None:
    """Take a host list; its version is the time at which it was asked for.

    Raises BadHostListError.
    """
    if item.version > hosts_version(view.clock.now() + MAX_CLOCK_SKEW_S):
        raise BadHostListError("a host list comes from the future")
    view.accept_hosts(unpack_hosts(item.payload))


def hosts_version(asked_at: float) -> int:
    """Return the version of a host list that was asked for at a time."""
    return int(asked_at * VERSIONS_PER_S)
