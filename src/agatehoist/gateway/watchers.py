"""Election of the nodes that watch the store on behalf of all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.membership.election import elected_hosts
from agatehoist.placement.ranking import rank
from agatehoist.placement.types import Candidate
from agatehoist.storage.types import HostEntry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from agatehoist.core.address import Address

WATCH_DUTY = "watch_store"
# In a smaller fleet each node watches the store itself: it notices a lost store without
# a hop, and the calls are few.
MAX_SELF_WATCHING_NODES = 8
# Watchers that a node asks before it reads the store itself.
MAX_WATCHERS_ASKED = 3


def elect_watchers(
    data_centres_by_node: Mapping[Address, str],
) -> dict[Address, str]:
    """Return the nodes that watch the store, with their data centres.

    The result is empty for a fleet so small that each node watches for itself.
    """
    if len(data_centres_by_node) <= MAX_SELF_WATCHING_NODES:
        return {}
    entries = [
        HostEntry(str(each), each.host, each.port, data_centre, "", "gateway", "front")
        for each, data_centre in data_centres_by_node.items()
    ]
    names = {
        name
        for data_centre in set(data_centres_by_node.values())
        for name in elected_hosts(WATCH_DUTY, data_centre, entries)
    }
    return {
        node: data_centre
        for node, data_centre in data_centres_by_node.items()
        if str(node) in names
    }


def watchers_to_ask(
    own: Address, data_centre: str, watchers: Mapping[Address, str]
) -> tuple[Address, ...]:
    """Return the watchers that a node asks in turn, that of its data centre first.

    The others follow in an order that differs from node to node, so that the work of a
    watcher that has failed is spread.
    """
    by_name = {str(each): each for each in watchers}
    candidates = [Candidate(str(each), name) for each, name in watchers.items()]
    ranked = rank(str(own).encode()[:64], candidates, len(candidates))
    ordered = sorted(ranked, key=lambda each: each.data_centre != data_centre)
    return tuple(by_name[each.host] for each in ordered)[:MAX_WATCHERS_ASKED]
