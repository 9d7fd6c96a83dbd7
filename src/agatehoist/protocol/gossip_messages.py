"""Messages that distribute the configuration and the host list by gossip."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.address import Address
from agatehoist.gossip.types import Item
from agatehoist.protocol.messages import message


@message(50)
@dataclass(frozen=True, slots=True)
class Exchange:
    """Report the versions that the sender holds; inner is the sender's address.

    A topic is a kind of distributed data, such as the host list.
    """

    node: str
    inner: Address | None
    versions_by_topic: dict[str, int]


@message(51)
@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Send the items that the peer lacks; request the wanted topics from it."""

    items: tuple[Item, ...]
    wanted: tuple[str, ...]


@message(52)
@dataclass(frozen=True, slots=True)
class Items:
    """Send the items that an exchange reply requested."""

    items: tuple[Item, ...]
