"""Session with a router over one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from agatehoist.errors import UnknownNameError
from agatehoist.observability.logs import get_logger
from agatehoist.protocol.authentication import Side
from agatehoist.protocol.connection import Connection
from agatehoist.protocol.errors import BadFrameError, ConnectionLostError, ProtocolError
from agatehoist.protocol.limits import IDLE_TIMEOUT_S, MAX_STREAMS, Slots

# Imported to register the handler of lease requests.
from agatehoist.sidecar import lease_handlers  # noqa: F401
from agatehoist.sidecar.handlers import HANDLERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import ByteStream, TaskGroup

    from agatehoist.sidecar.state import SidecarState

logger = get_logger("sidecar")


class Session:
    """Dispatch the messages of one router to their handlers."""

    def __init__(
        self, state: SidecarState, connection: Connection, task_group: TaskGroup
    ) -> None:
        self.state = state
        self._connection = connection
        self._task_group = task_group
        self._stream_slots = Slots("streams", MAX_STREAMS)
        self._idle_deadline = anyio.current_time() + IDLE_TIMEOUT_S

    async def send(self, message: Any) -> None:
        """Send one message.

        Raises ConnectionLostError.
        """
        await self._connection.send(message)

    def start_soon(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Stream an answer in a task that is cancelled when the session ends."""
        self._task_group.start_soon(self._run_stream, function, *arguments)

    async def run(self) -> None:
        """Handle messages until the connection ends."""
        self._task_group.start_soon(self._close_when_idle)
        while True:
            message = await self._connection.receive()
            self._idle_deadline = anyio.current_time() + IDLE_TIMEOUT_S
            try:
                handler = HANDLERS[type(message)]
            except UnknownNameError as error:
                raise BadFrameError(str(error)) from error
            await handler(self, message)

    async def _close_when_idle(self) -> None:
        while self._stream_slots.count or anyio.current_time() < self._idle_deadline:
            # Past the deadline, open streams still keep the session alive.
            wait_s = self._idle_deadline - anyio.current_time()
            await anyio.sleep(wait_s if wait_s > 0 else IDLE_TIMEOUT_S)
        self._task_group.cancel_scope.cancel()

    async def _run_stream(self, function: Callable[..., Any], *arguments: Any) -> None:
        try:
            with self._stream_slots.take():
                await function(self, *arguments)
        except ConnectionLostError:
            self._task_group.cancel_scope.cancel()


async def serve_session(state: SidecarState, byte_stream: ByteStream) -> None:
    """Serve one connection; an invalid frame or an error closes only this one."""
    connection = Connection(byte_stream)
    try:
        with state.session_slots.take():
            hello = state.gossip.hello()
            await connection.handshake(hello, Side.SERVER, state.inner_keys)
            await _run_session(state, connection)
    except* ConnectionLostError:
        logger.debug("connection closed")
    except* ProtocolError as group:
        reasons = [str(error) for error in group.exceptions]
        logger.warning("connection closed after a protocol error", reasons=reasons)
    except* Exception as group:
        # The process owns the task group, so an exception here would end it.
        logger.error("connection failed", exc_info=group)
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


async def _run_session(state: SidecarState, connection: Connection) -> None:
    async with anyio.create_task_group() as task_group:
        session = Session(state, connection, task_group)
        try:
            await session.run()
        finally:
            task_group.cancel_scope.cancel()
