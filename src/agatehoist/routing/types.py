"""Types of routes, services and requests on them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from agatehoist.http1.types import ConnectionLimits, Headers


class RouteKind(enum.StrEnum):
    """Say what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Give a service its share of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Say which services answer a path and within which time, in seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    max_runs: int
    public: bool
    sticky: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Say whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Engines:
    """Describe the model engines of a service.

    Engines that move runs hand the memory of a run over to another engine.
    """

    models: tuple[str, ...]
    move_runs: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service that endpoints run."""

    name: str
    engines: Engines | None = None


@dataclass(frozen=True, slots=True)
class KeptCache:
    """Name a store of kept KV cache."""

    host: str
    port: int
    data_centre: str

    @property
    def address(self) -> str:
        """Return host and port as endpoints take them."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Organisation:
    """Describe who holds keys; isolated ones share no cache with others."""

    name: str
    priority: int | None
    isolated: bool


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Hold the routing part of one accepted configuration."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    kept_caches: tuple[KeptCache, ...] = ()
    organisations_by_key: dict[bytes, Organisation] = field(default_factory=dict)
    keys_required: bool = False
    limits: ConnectionLimits = ConnectionLimits()


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt, with its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe a prompt; the last part is the request's or session's own."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may carry too."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class Envelope:
    """Hold what a front end has read of a request; times are epoch seconds.

    The headers are those that an endpoint gets as the caller sent them.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    keys: tuple[bytes, ...]
    headers: Headers
    body: bytes
    received_at: float
    caller_deadline: float | None
    prompt: Prompt | None
    last_event_id: bytes | None


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a request with its route, its organisation and its deadline."""

    envelope: Envelope
    route: Route
    service: str
    organisation: Organisation | None
    deadline: float
    table_version: int
