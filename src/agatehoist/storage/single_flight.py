"""Sharing of one read in progress among concurrent callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable


class SingleFlight:
    """Share the result of one read among concurrent callers with the same key."""

    def __init__(self) -> None:
        self._flights_by_key: dict[Hashable, _Flight] = {}

    async def run(self, key: Hashable, read: Callable[[], Awaitable[Any]]) -> Any:
        """Wait for the read in progress for the key, or start one.

        Raises what the shared read raises.
        """
        while True:
            flight = self._flights_by_key.get(key)
            if flight is None:
                return await self._read_as_leader(key, read)
            await flight.done.wait()
            if flight.error is not None:
                raise flight.error
            if flight.completed:
                return flight.result
            # The leader was cancelled, so a waiting caller starts the read again.

    async def _read_as_leader(
        self, key: Hashable, read: Callable[[], Awaitable[Any]]
    ) -> Any:
        flight = self._flights_by_key[key] = _Flight()
        try:
            flight.result = await read()
            flight.completed = True
        except Exception as error:
            flight.error = error
            raise
        finally:
            del self._flights_by_key[key]
            flight.done.set()
        return flight.result


class _Flight:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.completed = False
        self.result: Any = None
        self.error: Exception | None = None
