"""Objects with versions, conditional updates and watches."""

from __future__ import annotations

import collections
from typing import Any

import anyio


class VersionConflict(Exception):
    """Report a write against another version than the object's."""


class Store:
    """Keep the objects of the platform."""

    def __init__(self) -> None:
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._objects_by_key: dict[tuple[str, str], tuple[int, Any]] = {}
        self._changed = anyio.Event()

    def get(self, kind: str, name: str) -> tuple[int, Any] | None:
        """Return version and value, or None."""
        return self._objects_by_key.get((kind, name))

    def put(self, kind: str, name: str, value: Any, version: int) -> int:
        """Write an object that is at the version; zero means it doesn't exist.

        Raises VersionConflict.
        """
        current, _ = self.get(kind, name) or (0, None)
        if version != current:
            raise VersionConflict(f"object is at {current}")
        self._objects_by_key[kind, name] = (current + 1, value)
        self._changed.set()
        self._changed = anyio.Event()
        return current + 1

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._objects_by_key.pop((kind, name), None)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(name for each, name in self._objects_by_key if each == kind)

    async def wait_past(self, kind: str, name: str, version: int) -> tuple[int, Any]:
        """Return the object once it is past the version."""
        while True:
            found = self.get(kind, name)
            if found is not None and found[0] > version:
                return found
            await self._changed.wait()
