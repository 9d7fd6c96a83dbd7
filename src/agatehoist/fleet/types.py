"""Types of endpoints as the platform lists them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Describe one lifetime of an endpoint."""

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    born_ms: int
    versions_by_model: dict[str, int] = field(default_factory=dict)
    order_count: int = 0

    @property
    def lifetime(self) -> str:
        """Return a name that no other lifetime has, under the same name or not."""
        return f"{self.name}@{self.born_ms}"


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Hold what a model engine says of itself.

    Uncuttable runs are those that no other engine can go on with.
    """

    versions_by_model: dict[str, int]
    busy: bool
    order_count: int
    runs: int
    uncuttable_runs: int
