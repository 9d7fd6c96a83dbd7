"""Kinds of target of a policy exception."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from agatehoist.core.registry import Registry

if TYPE_CHECKING:
    from agatehoist.configuration.document import FleetDefaults


class TargetKind(Protocol):
    """Find the configuration entries that exceptions of one kind override."""

    # The field of FleetConfiguration that holds the entries.
    configuration_field: str

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the entry of that name in the defaults, or None."""


TARGET_KINDS: Registry[type[TargetKind]] = Registry("target kind")


@TARGET_KINDS.register("organisation")
class OrganisationTarget:
    """Target of exceptions that override the values of an organisation."""

    configuration_field = "organisations_by_name"

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the entry of that name in the defaults, or None."""
        return defaults.organisations_by_name.get(name)


@TARGET_KINDS.register("model")
class ModelTarget:
    """Target of exceptions that override the values of a model."""

    configuration_field = "models_by_name"

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the entry of that name in the defaults, or None."""
        return defaults.models_by_name.get(name)


@TARGET_KINDS.register("service")
class ServiceTarget:
    """Target of exceptions that override the values of a service."""

    configuration_field = "services_by_name"

    @staticmethod
    def find(defaults: FleetDefaults, name: str) -> Any | None:
        """Return the entry of that name in the defaults, or None."""
        return defaults.services_by_name.get(name)


@TARGET_KINDS.register("endpoint")
class EndpointTarget:
    """Target of exceptions that override the rules of the endpoint on one host.

    The endpoint may not be running yet, so any host name is found.
    """

    configuration_field = "endpoints_by_host"

    @staticmethod
    def find(defaults: FleetDefaults, _name: str) -> Any | None:
        """Return the rules that all endpoints share."""
        return defaults.endpoint
