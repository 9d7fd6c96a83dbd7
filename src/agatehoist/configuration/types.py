"""Types of the fleet's configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from agatehoist.reports.objectives import default_objectives
from agatehoist.reports.types import Objective


@dataclass(frozen=True, slots=True)
class Organisation:
    """Configure one organisation; a rate of None is unlimited."""

    key_digests: tuple[str, ...] = ()
    # Share of an endpoint's capacity relative to the other waiting organisations.
    weight: float = 1.0
    requests_per_s: float | None = None
    tokens_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Model:
    """Configure one model and the weights, adapters and roles of its endpoints."""

    context_tokens: int
    # Any text; versions are compared for equality only.
    weights_version: str = "1"
    # The name of a policy in placement/policies.py.
    placement: str = "probe"
    adapters: tuple[str, ...] = ()
    # Share of the endpoints that only prefill; above 0, the others only decode.
    prefill_share: float = 0.0
    # Raised to start a stopped roll-out again.
    rollout_attempt: int = 1


@dataclass(frozen=True, slots=True)
class Service:
    """Configure one service other than a model; listed methods aren't retried."""

    non_idempotent_methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")


@dataclass(frozen=True, slots=True)
class EndpointRules:
    """Configure an endpoint; an empty weights version stands for that of the model."""

    # Whether the endpoint itself rejects orders with an outdated fencing number.
    checks_fencing: bool = False
    weights_version: str = ""


@dataclass(frozen=True, slots=True)
class Orders:
    """Limit the orders that make endpoints load weights.

    capacity_floor is the share of endpoints that must keep serving.
    """

    # Endpoints that may load weights at the same time.
    concurrent_loads: int = 3
    capacity_floor: float = 0.5


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """Hold the configuration of the whole fleet at one revision."""

    revision: int = 0
    organisations_by_name: dict[str, Organisation] = field(default_factory=dict)
    models_by_name: dict[str, Model] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    endpoint: EndpointRules = field(default_factory=EndpointRules)
    endpoints_by_host: dict[str, EndpointRules] = field(default_factory=dict)
    orders: Orders = field(default_factory=Orders)
    objectives_by_name: dict[str, Objective] = field(default_factory=default_objectives)

    def rules_of(self, host: str) -> EndpointRules:
        """Return the rules for the endpoint on a host."""
        return self.endpoints_by_host.get(host, self.endpoint)
