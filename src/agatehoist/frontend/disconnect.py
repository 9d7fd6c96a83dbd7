"""Cancellation of an operation when its caller disconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
from starlette.requests import ClientDisconnect

from agatehoist.refusals import RequestRefusedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

Result = TypeVar("Result")


async def run_while_connected(
    request: Request, operation: Callable[[], Awaitable[Result]]
) -> Result:
    """Run an operation, cancel it if the caller disconnects, and return its result.

    Raises ClientDisconnect or RequestRefusedError.
    """
    results: list[Result] = []
    refused: RequestRefusedError | None = None
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_cancel_on_disconnect, request, task_group.cancel_scope)
        try:
            results.append(await operation())
        except RequestRefusedError as error:
            # Raised after the task group, which would wrap it in an exception group.
            refused = error
        task_group.cancel_scope.cancel()
    if refused is not None:
        raise refused
    if not results:
        raise ClientDisconnect
    return results[0]


async def _cancel_on_disconnect(request: Request, scope: anyio.CancelScope) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
