"""Settings of the processes."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.address import Address

MIN_SECRET_CHARACTERS = 32


class Secret(str):
    """Hold a shared key; its representation is masked, so that logs don't show it."""

    __slots__ = ()

    def __repr__(self) -> str:
        return "Secret(...)"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identify a node, which is one process of agatehoist, and its location."""

    name: str
    data_centre: str
    region: str


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Configure the URL of the platform."""

    url: str


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Configure the operators' commands."""

    platform: PlatformSettings


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Configure a router.

    ``inner`` is the address for connections between processes of agatehoist, from which
    peers also request the configuration.
    """

    node: NodeSettings
    http: Address
    platform: PlatformSettings
    inner: Address | None = None
    peers: tuple[Address, ...] = ()
    operator_key_digests: tuple[str, ...] = ()
    inner_keys: tuple[Secret, ...] = ()
    log_level: str = "info"


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """Configure the endpoint of a sidecar and limit its concurrent requests."""

    # "engine" or "service".
    kind: str
    url: str
    # The name of the model or service.
    serves: str
    slots: int = 64
    prefill_slots: int = 4
    # Limit on concurrent prefills of requests with Priority.LONG.
    long_prefill_slots: int = 1


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Configure a sidecar."""

    node: NodeSettings
    inner: Address
    http: Address
    platform: PlatformSettings
    endpoint: EndpointSettings
    peers: tuple[Address, ...] = ()
    inner_keys: tuple[Secret, ...] = ()
    log_level: str = "info"
