"""Types of the spread between processes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Topic(enum.StrEnum):
    """Name what is spread."""

    CONFIGURATION = "configuration"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class Item:
    """Hold the newest state of a topic; only a higher version replaces it."""

    topic: str
    version: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a peer with what it lacks and the topics wanted from it."""

    items: tuple[Item, ...]
    wanted: tuple[str, ...]
