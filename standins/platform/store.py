"""Versioned object store with conditional writes and watches."""

from __future__ import annotations

import collections
from typing import Any

import anyio

KEPT_VERSIONS = 16

_Versions = collections.deque[tuple[int, Any]]


class VersionConflict(Exception):
    """Report a write whose expected version isn't the object's current one."""


class Store:
    """Hold the latest versions of the platform's objects."""

    def __init__(self) -> None:
        self.calls_by_operation: collections.Counter[str] = collections.Counter()
        self._versions_by_key: dict[tuple[str, str], _Versions] = {}
        self._changed = anyio.Event()

    def get(
        self, kind: str, name: str, versions_back: int = 0
    ) -> tuple[int, Any] | None:
        """Return the version and value so many versions before the newest, or None."""
        versions = self._versions_by_key.get((kind, name))
        if not versions:
            return None
        return versions[max(0, len(versions) - 1 - versions_back)]

    def put(self, kind: str, name: str, value: Any, version: int) -> int:
        """Write an object if it is at the version; zero means that it doesn't exist.

        Raises VersionConflict.
        """
        current, _ = self.get(kind, name) or (0, None)
        if version != current:
            raise VersionConflict(f"object is at version {current}")
        versions = self._versions_by_key.setdefault(
            (kind, name), collections.deque(maxlen=KEPT_VERSIONS)
        )
        versions.append((current + 1, value))
        self._changed.set()
        self._changed = anyio.Event()
        return current + 1

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self._versions_by_key.pop((kind, name), None)

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the objects of a kind."""
        return sorted(name for each, name in self._versions_by_key if each == kind)

    async def wait_past(
        self, kind: str, name: str, version: int, versions_back: int = 0
    ) -> tuple[int, Any]:
        """Wait until the object is newer than a version, and return it."""
        while True:
            found = self.get(kind, name, versions_back)
            if found is not None and found[0] > version:
                return found
            await self._changed.wait()
