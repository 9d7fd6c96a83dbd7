"""Types of the gossip protocol."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Topic(enum.StrEnum):
    """Name a kind of state that gossip distributes."""

    CONFIGURATION = "configuration"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class Item:
    """Hold one version of a topic's state; only a higher version replaces it."""

    topic: str
    version: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the items that a peer lacks and the topics requested from it."""

    items: tuple[Item, ...]
    wanted: tuple[str, ...]
