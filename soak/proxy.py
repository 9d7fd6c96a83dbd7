"""Loopback proxy that can delay, hold back, reset and refuse connections."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import anyio

from agatehoist.http1.channel import connect
from agatehoist.http1.errors import ConnectionFailedError
from standins.users_platform.loopback import HOST

if TYPE_CHECKING:
    from agatehoist.http1.channel import Channel
    from standins.users_platform.endpoint import EndpointStandIn


class Fault(enum.Enum):
    """Name a fault of the proxy; held-back data is forwarded once the fault ends.

    SILENT holds back the data of both directions, ANSWERS_LOST only that from the
    target and REQUESTS_LOST only that to the target. REFUSED resets new connections.
    """

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    ANSWERS_LOST = "answers_lost"
    REQUESTS_LOST = "requests_lost"
    REFUSED = "refused"


DELAY_S = 0.3
# Interval at which the proxy checks whether it may forward held-back data. A fault that
# holds data back lasts up to this much longer for the peers.
POLL_INTERVAL_S = 0.05


class Proxy:
    """Forward bytes to a loopback port, subject to the current fault."""

    def __init__(self) -> None:
        self.target_port = 0
        self.fault = Fault.NONE
        # Holds back the data of both directions, whatever the fault.
        self.is_paused = False
        # Whether connections are reset, not closed, when the proxy goes down.
        self.resets_when_down = False
        self._channels: set[Channel] = set()

    def reset(self) -> None:
        """Reset all connections."""
        for each in tuple(self._channels):
            each.abort()

    async def serve(self, caller: Channel) -> None:
        """Forward a connection's bytes both ways until one side closes it."""
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
                task_group.start_soon(
                    self._forward, caller, target, Fault.REQUESTS_LOST
                )
                task_group.start_soon(self._forward, target, caller, Fault.ANSWERS_LOST)
        except anyio.get_cancelled_exc_class():
            if self.resets_when_down:
                caller.abort()
            raise
        finally:
            self._channels -= {caller, target}
            caller.close()
            target.close()

    async def _forward(
        self, source: Channel, sink: Channel, blocking_fault: Fault
    ) -> None:
        try:
            while data := await source.receive():
                if self.fault is Fault.DELAYED:
                    await anyio.sleep(DELAY_S)
                # TCP retransmits lost packets, so data is held back, not dropped.
                while self._holds_back(blocking_fault):  # noqa: ASYNC110
                    await anyio.sleep(POLL_INTERVAL_S)
                await sink.send(data)
            sink.close()
        except ConnectionFailedError:
            source.abort()
            sink.abort()

    def _holds_back(self, blocking_fault: Fault) -> bool:
        return self.is_paused or self.fault in (Fault.SILENT, blocking_fault)


class EndpointFront:
    """Serve the proxy of an endpoint, which listens only while the endpoint does."""

    def __init__(self, proxy: Proxy, endpoint: EndpointStandIn) -> None:
        self.serve = proxy.serve
        # The endpoint listens again first.
        self.down_s = endpoint.down_s + POLL_INTERVAL_S
        self._endpoint = endpoint

    @property
    def crashed(self) -> anyio.Event:
        """Return the event of the endpoint's next crash."""
        return self._endpoint.crashed

    def restart(self) -> None:
        """Do nothing, as the endpoint restarts itself."""
