"""Messages that spread the configuration and the host list."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.address import Address
from agatehoist.gossip.types import Item
from agatehoist.protocol.messages import message


@message(50)
@dataclass(frozen=True, slots=True)
class Exchange:
    """Tell the versions held; inner is where the sender can be reached."""

    node: str
    inner: Address | None
    versions_by_topic: dict[str, int]


@message(51)
@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Give what the sender of the exchange lacks and ask for what it has."""

    items: tuple[Item, ...]
    wanted: tuple[str, ...]


@message(52)
@dataclass(frozen=True, slots=True)
class Items:
    """Give the items that a reply asked for."""

    items: tuple[Item, ...]
