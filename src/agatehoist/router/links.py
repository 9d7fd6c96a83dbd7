"""Links of a router to the sidecars."""

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
    from agatehoist.router.directory import Directory


class LinkPool:
    """Open links when they are first needed and keep them."""

    def __init__(
        self,
        directory: Directory,
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
        asked_at = anyio.current_time()
        async with self._locks_by_host.setdefault(host, anyio.Lock()):
            link = self._links_by_host.get(host)
            if link is None or link.closed:
                link = await self._open_once(host, asked_at)
                self._links_by_host[host] = link
            return link

    async def _open_once(self, host: str, asked_at: float) -> Link:
        self._forget_gone()
        # Those who waited for a try that failed share its failure.
        if self._failed_at_by_host.get(host, 0.0) > asked_at:
            raise ConnectionLostError(f"host {host} wasn't reached")
        try:
            return await self._open(host)
        except ProtocolError:
            self._failed_at_by_host[host] = anyio.current_time()
            raise

    def _forget_gone(self) -> None:
        for host, link in tuple(self._links_by_host.items()):
            if link.closed and host not in self._directory.hosts_by_name:
                del self._links_by_host[host]
                self._locks_by_host.pop(host, None)
                self._failed_at_by_host.pop(host, None)

    async def _open(self, host: str) -> Link:
        entry = self._directory.hosts_by_name.get(host)
        if entry is None:
            raise ConnectionLostError(f"host {host} has left the list")
        # The list lags, and another host may have taken the address over; a call
        # meant for one service must not reach another.
        return await open_link(
            entry.address,
            entry.port,
            self._hello(),
            self._task_group,
            self._keys,
            node=host,
        )
