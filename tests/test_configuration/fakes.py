"""In-memory platform with injected faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from agatehoist.storage.errors import (
    ConflictError,
    ObjectNotFoundError,
    PlatformUnavailableError,
)
from agatehoist.storage.types import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable


class FakePlatform:
    """Store objects in memory, with injected faults in the form ``METHOD:EFFECT``.

    The next get of any object, or put of the configuration, uses up the first fault if
    that names its method; an empty effect lets the call succeed.
    """

    def __init__(self, faults: list[str] | None = None) -> None:
        self.faults = faults or []
        self.before_put: Callable[[], None] | None = None
        self._versions_by_key: dict[tuple[str, str], list[Any]] = {}

    async def get(self, kind: str, name: str, _purpose: Any = None) -> StoredObject:
        """Return an object, or its previous version on the fault ``old``."""
        fault = self._next_fault("get")
        versions = self._versions_by_key.get((kind, name))
        if not versions:
            raise ObjectNotFoundError(name)
        version = len(versions) - (1 if fault == "old" and len(versions) > 1 else 0)
        return StoredObject(kind, name, version, versions[version - 1])

    async def put(
        self, kind: str, name: str, value: Any, version: int, _purpose: Any = None
    ) -> StoredObject:
        """Write an object; the fault ``lost`` loses the response."""
        if kind == "configuration" and self.before_put is not None:
            callback, self.before_put = self.before_put, None
            callback()
        fault = self._next_fault("put") if kind == "configuration" else ""
        if fault == "down":
            raise PlatformUnavailableError("down")
        self.store(kind, name, value, version)
        if fault == "lost":
            raise PlatformUnavailableError("lost")
        return StoredObject(kind, name, version + 1, value)

    async def delete(self, kind: str, name: str, _purpose: Any = None) -> None:
        """Delete an object."""
        if self._versions_by_key.pop((kind, name), None) is None:
            raise ObjectNotFoundError(name)

    def store(self, kind: str, name: str, value: Any, version: int) -> None:
        """Write an object without injected faults."""
        versions = self._versions_by_key.setdefault((kind, name), [])
        if len(versions) != version:
            raise ConflictError(name)
        versions.append(value)

    def count(self, kind: str) -> int:
        """Return the number of objects of a kind."""
        return sum(each == kind for each, _ in self._versions_by_key)

    def _next_fault(self, method: str) -> str:
        if self.faults and self.faults[0].startswith(method):
            fault = self.faults.pop(0).partition(":")[2]
            if fault == "down":
                raise PlatformUnavailableError("down")
            return fault
        return ""
