"""The configuration that the operators accepted."""

from __future__ import annotations

from agatehoist.configuration.types import (
    FleetConfiguration,
    Model,
    Organisation,
    Service,
)

__all__ = ["FleetConfiguration", "Model", "Organisation", "Service"]
