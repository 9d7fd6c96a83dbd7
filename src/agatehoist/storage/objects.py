"""Interface of an object store with lists, watches and conditional writes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from agatehoist.storage.revisions import Revision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from agatehoist.core.address import Address
    from agatehoist.http1.types import Reply


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Hold one object as of a revision.

    storage.types.StoredObject is its counterpart for routers and sidecars.
    """

    name: str
    revision: Revision
    spec: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a kind as of a revision of the store."""

    values: tuple[StoredValue, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """Describe the write or removal of an object."""

    value: StoredValue
    removed: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes up to a revision of the store, in order."""

    changes: tuple[ObjectChange, ...]
    revision: Revision


class ObjectStore(Protocol):
    """Store persistent objects."""

    # Returns the peers through which failed reads are retried.
    relays: Callable[[], Iterable[Address]]
    # Called when the store has come back from an older copy.
    on_new_era: Callable[[], None]
    # Called when calls that were answered begin to fail.
    on_failing: Callable[[], None]

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed, or was answered through a peer."""

    async def forward_read(self, target: bytes) -> Reply:
        """Forward a peer's read to the store; return the reply, whatever its status."""

    def set_address(self, host: str, port: int) -> None:
        """Send later calls to another address of the store."""

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """Return all objects of a kind; a stale list is cheaper but seconds old."""

    async def watch(self, kind: str, revision: Revision, timeout_s: float) -> Changes:
        """Return the changes after a revision, or none if none occur in time."""

    async def get(self, kind: str, name: str) -> StoredValue:
        """Return one object."""

    async def create(self, kind: str, name: str, spec: Any) -> StoredValue:
        """Create an object."""

    async def replace(
        self, kind: str, name: str, spec: Any, revision: Revision
    ) -> StoredValue:
        """Write an object if it is at the revision."""
