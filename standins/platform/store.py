"""Objects with versions, conditional updates and watches."""

from __future__ import annotations

import collections
from typing import Any

import anyio

KEPT_VERSIONS = 16

_Versions = collections.deque[tuple[int, Any]]


class VersionConflict(Exception):
    """Report a write against another version than the object's."""


class Store:
    """Keep the objects of the platform."""

    def __init__(self) -> None:
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._versions_by_key: dict[tuple[str, str], _Versions] = {}
        self._changed = anyio.Event()

    def get(self, kind: str, name: str, back: int = 0) -> tuple[int, Any] | None:
        """Return version and value, or None; back counts from the newest version."""
        versions = self._versions_by_key.get((kind, name))
        if not versions:
            return None
        return versions[max(0, len(versions) - 1 - back)]

    def put(self, kind: str, name: str, value: Any, version: int) -> int:
        """Write an object that is at the version; zero means it doesn't exist.

        Raises VersionConflict.
        """
        current, _ = self.get(kind, name) or (0, None)
        if version != current:
            raise VersionConflict(f"object is at {current}")
        versions = self._versions_by_key.setdefault(
            (kind, name), collections.deque(maxlen=KEPT_VERSIONS)
        )
        versions.append((current + 1, value))
        self._changed.set()
        self._changed = anyio.Event()
        return current + 1

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._versions_by_key.pop((kind, name), None)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(name for each, name in self._versions_by_key if each == kind)

    async def wait_past(
        self, kind: str, name: str, version: int, back: int = 0
    ) -> tuple[int, Any]:
        """Return the object once it is past the version."""
        while True:
            found = self.get(kind, name, back)
            if found is not None and found[0] > version:
                return found
            await self._changed.wait()
