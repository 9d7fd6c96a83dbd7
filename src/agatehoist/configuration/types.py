"""Types of the fleet's configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from agatehoist.reports.objectives import default_objectives
from agatehoist.reports.types import Objective


@dataclass(frozen=True, slots=True)
class Organisation:
    """Configure one organisation; a rate of None is unlimited."""

    key_digests: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_s: float | None = None
    tokens_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Model:
    """Configure one model."""

    context_tokens: int
    weights_version: str = "1"
    placement: str = "probe"
    adapters: tuple[str, ...] = ()
    prefill_share: float = 0.0
    rollout_attempt: int = 1


@dataclass(frozen=True, slots=True)
class Service:
    """Configure one service other than a model; listed methods aren't retried."""

    non_idempotent_methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")


@dataclass(frozen=True, slots=True)
class EndpointRules:
    """Configure endpoints; an empty weights version stands for that of the model."""

    checks_fencing: bool = False
    weights_version: str = ""


@dataclass(frozen=True, slots=True)
class Orders:
    """Limit orders; capacity_floor is the share of endpoints that must keep serving."""

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
