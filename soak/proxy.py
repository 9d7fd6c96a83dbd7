"""Loopback proxy whose connections can be delayed, silenced, reset and refused."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import connect
from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel


class Fault(enum.Enum):
    """What the proxy does to its connections."""

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    ANSWERS_LOST = "answers_lost"
    REQUESTS_LOST = "requests_lost"
    REFUSED = "refused"


DELAY_S = 0.3
# Silence is looked at again so often; a longer one shows to the peers as a whole.
LOOK_S = 0.05


class Proxy:
    """Pass bytes to a port of loopback, with the fault of the moment."""

    def __init__(self) -> None:
        self.target_port = 0
        self.fault = Fault.NONE
        self._channels: set[Channel] = set()

    def reset(self) -> None:
        """Reset all connections."""
        for each in tuple(self._channels):
            each.abort()

    async def serve(self, caller: Channel) -> None:
        """Serve a connection until one side ends it."""
        if self.fault is Fault.REFUSED:
            caller.abort()
            return
        try:
            target = await connect(HOST, self.target_port)
        except ConnectionFailedError:
            caller.abort()
            return
        self._channels |= {caller, target}
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._pump, caller, target, Fault.REQUESTS_LOST)
                task_group.start_soon(self._pump, target, caller, Fault.ANSWERS_LOST)
        finally:
            self._channels -= {caller, target}
            caller.close()
            target.close()

    async def _pump(self, source: Channel, sink: Channel, lost: Fault) -> None:
        try:
            while data := await source.receive():
                if self.fault is Fault.DELAYED:
                    await anyio.sleep(DELAY_S)
                # What was held back goes on later, as packets are sent again.
                while self.fault in (Fault.SILENT, lost):  # noqa: ASYNC110
                    await anyio.sleep(LOOK_S)
                await sink.send(data)
            sink.close()
        except ConnectionFailedError:
            source.abort()
            sink.abort()
