"""Calls that other gateways make on the inner port, by request target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from agatehoist.gateway.state import GatewayState
    from agatehoist.http1.types import Reply, Request

INNER_CALLS: Registry[Callable[[GatewayState, Request], Awaitable[Reply]]] = Registry(
    "inner call"
)
