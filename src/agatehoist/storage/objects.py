"""Typed objects of a store that lists, watches and replaces under a condition."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from agatehoist.core.address import Address
    from agatehoist.http1.types import Reply


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Hold one object at one revision."""

    name: str
    revision: int
    spec: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a kind as of a revision of the store."""

    values: tuple[StoredValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """Tell that an object was written or removed."""

    value: StoredValue
    removed: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes up to a revision of the store, in order."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(Protocol):
    """Keep the objects that must last."""

    # Peers through which a read is tried when the store doesn't answer.
    relays: Callable[[], Iterable[Address]]

    async def read(self, target: bytes) -> Reply:
        """Pass a read of a peer on to the store, whatever the answer is."""

    def move(self, host: str, port: int) -> None:
        """Take another address of the store for the calls to come."""

    async def list(self, kind: str, stale: bool = False) -> Listing:
        """Return all objects of a kind; a stale list is cheap and seconds old."""

    async def watch(self, kind: str, revision: int, timeout_s: float) -> Changes:
        """Return the changes after a revision, none if there were none in time."""

    async def get(self, kind: str, name: str) -> StoredValue:
        """Return one object."""

    async def create(self, kind: str, name: str, spec: Any) -> StoredValue:
        """Create an object."""

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> StoredValue:
        """Write an object that is at a revision."""
