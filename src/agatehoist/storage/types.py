"""Types of the platform's host list and stored objects."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any


class HostState(enum.StrEnum):
    """Tell whether a host is in service or about to leave."""

    LIVE = "live"
    # Routers send no new requests to the host.
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """Describe one endpoint host of the platform's list."""

    host: str
    address: str
    port: int
    data_centre: str
    region: str
    kind: str
    serves: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object at one version."""

    kind: str
    name: str
    version: int
    value: Any
