"""Pool of the links of a router to the sidecars.

A link is one connection, which carries many attempts at the same time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.protocol.errors import ConnectionLostError, ProtocolError
from agatehoist.protocol.link import Link, open_link

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from agatehoist.protocol.authentication import KeyRing
    from agatehoist.protocol.messages import Hello
    from agatehoist.router.directory import EndpointDirectory


class LinkPool:
    """Open links on first use and reuse them."""

    def __init__(
        self,
        directory: EndpointDirectory,
        hello: Callable[[], Hello],
        task_group: TaskGroup,
        keys: KeyRing,
    ) -> None:
        self._directory = directory
        self._hello = hello
        self._task_group = task_group
        self._keys = keys
        self._links_by_host: dict[str, Link] = {}
        self._locks_by_host: dict[str, anyio.Lock] = {}
        self._failed_at_by_host: dict[str, float] = {}

    async def get(self, host: str) -> Link:
        """Return an open link to the sidecar on a host.

        Raises ConnectionLostError or another ProtocolError.
        """
        requested_at = anyio.current_time()
        async with self._locks_by_host.setdefault(host, anyio.Lock()):
            link = self._links_by_host.get(host)
            if link is None or link.closed:
                link = await self._open_unless_just_failed(host, requested_at)
                self._links_by_host[host] = link
            return link

    async def _open_unless_just_failed(self, host: str, requested_at: float) -> Link:
        self._discard_unlisted()
        # Callers that waited for the lock while connecting failed get the same error
        # without another try.
        if self._failed_at_by_host.get(host, 0.0) > requested_at:
            raise ConnectionLostError(f"connecting to host {host} failed")
        try:
            return await self._open(host)
        except ProtocolError:
            self._failed_at_by_host[host] = anyio.current_time()
            raise

    def _discard_unlisted(self) -> None:
        for host, link in tuple(self._links_by_host.items()):
            if link.closed and host not in self._directory.hosts_by_name:
                del self._links_by_host[host]
                self._locks_by_host.pop(host, None)
                self._failed_at_by_host.pop(host, None)

    async def _open(self, host: str) -> Link:
        entry = self._directory.hosts_by_name.get(host)
        if entry is None:
            raise ConnectionLostError(f"host {host} is no longer in the host list")
        # The host list may be out of date and the address reused by another host. The
        # handshake fails unless the peer names itself `host`, so that no call reaches
        # another service.
        return await open_link(
            entry.address,
            entry.port,
            self._hello(),
            self._task_group,
            self._keys,
            node=host,
        )
