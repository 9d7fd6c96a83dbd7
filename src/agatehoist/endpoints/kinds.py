"""Registry of the endpoint clients by kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry

if TYPE_CHECKING:
    from agatehoist.endpoints.types import EndpointStatus


class EndpointClient(Protocol):
    """Send requests to one endpoint."""

    def __init__(self, url: str) -> None: ...

    async def status(self) -> EndpointStatus:
        """Return the status that the endpoint reports.

        Raises EndpointError.
        """

    async def aclose(self) -> None:
        """Close the connections."""


ENDPOINT_KINDS: Registry[type[EndpointClient]] = Registry("endpoint kind")
