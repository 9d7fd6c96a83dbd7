"""Sharing of one read in progress among concurrent callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable


class SingleFlight:
    """Share the result of one read among concurrent callers with the same key."""

    def __init__(self) -> None:
        self._reads_by_key: dict[Hashable, _SharedRead] = {}

    async def run(self, key: Hashable, read: Callable[[], Awaitable[Any]]) -> Any:
        """Wait for the read in progress for the key, or start one.

        Raises what the shared read raises.
        """
        while True:
            shared_read = self._reads_by_key.get(key)
            if shared_read is None:
                return await self._read_as_leader(key, read)
            await shared_read.done.wait()
            if shared_read.error is not None:
                raise shared_read.error
            if shared_read.completed:
                return shared_read.result
            # The leader was cancelled, so a waiting caller starts the read again.

    async def _read_as_leader(
        self, key: Hashable, read: Callable[[], Awaitable[Any]]
    ) -> Any:
        shared_read = self._reads_by_key[key] = _SharedRead()
        try:
            shared_read.result = await read()
            shared_read.completed = True
        except Exception as error:
            shared_read.error = error
            raise
        finally:
            del self._reads_by_key[key]
            shared_read.done.set()
        return shared_read.result


class _SharedRead:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.completed = False
        self.result: Any = None
        self.error: Exception | None = None
