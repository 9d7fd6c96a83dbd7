"""Kinds of target that an exception may name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from agatehoist.core.registry import Registry

if TYPE_CHECKING:
    from agatehoist.configuration.document import FleetDefaults


class TargetKind(Protocol):
    """Find the entries that exceptions of a kind change."""

    collection: str

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the default entry of that name, or None."""


TARGET_KINDS: Registry[type[TargetKind]] = Registry("target kind")


@TARGET_KINDS.register("organisation")
class OrganisationTarget:
    """Change an organisation."""

    collection = "organisations_by_name"

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the default entry of that name, or None."""
        return defaults.organisations_by_name.get(name)


@TARGET_KINDS.register("model")
class ModelTarget:
    """Change a model."""

    collection = "models_by_name"

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the default entry of that name, or None."""
        return defaults.models_by_name.get(name)


@TARGET_KINDS.register("service")
class ServiceTarget:
    """Change a plain service."""

    collection = "services_by_name"

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the default entry of that name, or None."""
        return defaults.services_by_name.get(name)


@TARGET_KINDS.register("endpoint")
class EndpointTarget:
    """Change the endpoint on one host; any host may be named ahead of its start."""

    collection = "endpoints_by_host"

    @staticmethod
    def find(defaults: FleetDefaults, _name: str) -> Any | None:
        """Return the rules that all endpoints share."""
        return defaults.endpoint
