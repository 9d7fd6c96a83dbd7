"""Sharing of one request in flight by all who ask for the same."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable


class SingleFlight:
    """Let the callers that ask for the same at a time share one answer."""

    def __init__(self) -> None:
        self._flights_by_key: dict[Hashable, _Flight] = {}

    async def run(self, key: Hashable, read: Callable[[], Awaitable[Any]]) -> Any:
        """Return the answer of the read in flight, or start one.

        Raises what the shared read raises.
        """
        while True:
            flight = self._flights_by_key.get(key)
            if flight is None:
                return await self._lead(key, read)
            await flight.done.wait()
            if flight.error is not None:
                raise flight.error
            if flight.answered:
                return flight.answer
            # The leader was cancelled; one of those who waited takes over.

    async def _lead(self, key: Hashable, read: Callable[[], Awaitable[Any]]) -> Any:
        flight = self._flights_by_key[key] = _Flight()
        try:
            flight.answer = await read()
            flight.answered = True
        except Exception as error:
            flight.error = error
            raise
        finally:
            del self._flights_by_key[key]
            flight.done.set()
        return flight.answer


class _Flight:
    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answered = False
        self.answer: Any = None
        self.error: Exception | None = None
