"""Configuration of the fleet that operators edit and the platform stores."""

from __future__ import annotations

from agatehoist.configuration.document import Document, PolicyException, Record
from agatehoist.configuration.types import (
    EndpointRules,
    FleetConfiguration,
    Model,
    Orders,
    Organisation,
    Service,
)

__all__ = [
    "Document",
    "EndpointRules",
    "FleetConfiguration",
    "Model",
    "Orders",
    "Organisation",
    "PolicyException",
    "Record",
    "Service",
]
