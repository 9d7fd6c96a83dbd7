"""Types of endpoints as the platform lists them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Describe one lifetime of an endpoint, from its start to its end.

    An endpoint is `leaving` once the platform lists it as draining; it then gets no new
    requests. `software` is the version of its software, not that of its weights.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int
    versions_by_model: dict[str, int] = field(default_factory=dict)
    order_count: int = 0
    software: str = ""

    @property
    def lifetime(self) -> str:
        """Return the id of this lifetime, unique even among lifetimes of one name."""
        return f"{self.name}@{self.started_ms}"


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Hold the status that a model engine reports.

    A `busy` engine is executing a weights order. Non-resumable runs are those that no
    other engine can continue.
    """

    versions_by_model: dict[str, int]
    busy: bool
    order_count: int
    runs: int
    non_resumable_runs: int
