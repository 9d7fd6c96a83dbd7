"""Handlers that apply a new version of a topic."""

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

    ApplyItem = Callable[[FleetView, Item], None]

MAX_CLOCK_SKEW_S = 5.0
# Versions of the host list are in epoch milliseconds.
VERSION_UNITS_PER_S = 1000

ITEM_HANDLERS: Registry[ApplyItem] = Registry("topic")


@ITEM_HANDLERS.register(Topic.CONFIGURATION)
def apply_configuration(view: FleetView, item: Item) -> None:
    """Put a configuration in force; the item's version is its revision.

    Raises BadRecordError.
    """
    view.accept_record(unpack_record(item.payload, item.version))


@ITEM_HANDLERS.register(Topic.HOSTS)
def apply_hosts(view: FleetView, item: Item) -> None:
    """Apply a host list; its version is the epoch time in ms at which it was requested.

    Raises BadHostListError.
    """
    if item.version > host_list_version(view.clock.now() + MAX_CLOCK_SKEW_S):
        raise BadHostListError("host list version is too far in the future")
    view.accept_hosts(unpack_hosts(item.payload))


def host_list_version(read_at: float) -> int:
    """Return the version of a host list that was requested at an epoch time."""
    return int(read_at * VERSION_UNITS_PER_S)
