"""Types of routes, services and routed requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from agatehoist.http1.types import ConnectionLimits, Headers
from agatehoist.limits.types import Allotment


class RouteKind(enum.StrEnum):
    """Classify routes by the answer and by whether a request may run more than once.

    A request of an IDEMPOTENT route may, one of a NON_IDEMPOTENT route may not. A
    STREAM route answers with a stream of events; its requests may if it is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Set the weight of a service among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Map an HTTP host and a path prefix to services, with times in seconds.

    `objective_s` is the target latency and `gap_objective_s` the target for gaps in a
    stream; from both follows how long an endpoint may stay silent. The priority is sent
    to the endpoint, unless the organisation has its own. `max_runs` limits the attempts
    of one request that may have run. On a sticky route requests with the same shared
    prompt get the same service. On a resumable route another endpoint may continue a
    stream after the events already sent.
    """

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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Engines:
    """Describe the model engines of a service.

    Engines with `move_runs` can transfer the KV cache of a run to another engine.
    `memory_tokens` is the size of an engine's KV cache, or 0 if it is unknown. An
    event of a stream has up to `stride` tokens. `token_bytes` is the size of a token
    in the KV cache.
    """

    models: tuple[str, ...]
    move_runs: bool = False
    memory_tokens: int = 0
    link_mbps: float = 0.0
    slots: int = 0
    stride: int = 1
    token_bytes: int = 0

    @property
    def states_figures(self) -> bool:
        """Return whether the room of an engine can be computed from its figures."""
        return self.stride > 1 and self.memory_tokens > 0


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service that endpoints run; `engines` is None without a model."""

    name: str
    engines: Engines | None = None


@dataclass(frozen=True, slots=True)
class KvStore:
    """Locate a store that keeps KV cache outside the engines."""

    host: str
    port: int
    data_centre: str
    link_mbps: float = 0.0

    @property
    def address(self) -> str:
        """Return `host:port`, the format that endpoints expect."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Organisation:
    """Describe an organisation; an isolated one shares no cache with others.

    A priority of None leaves that of the route; an allotment of None is no limit.
    """

    name: str
    priority: int | None
    isolated: bool
    allotment: Allotment | None = None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Hold the routing data of one version of the configuration."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    kv_stores: tuple[KvStore, ...] = ()
    organisations_by_key: dict[bytes, Organisation] = field(default_factory=dict)
    keys_required: bool = False
    limits: ConnectionLimits = ConnectionLimits()


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a part of a prompt and its length in tokens."""

    part_id: str
    tokens: int


# Engines run short prompts before long ones, which take many times as long.
LONG_PROMPT_TOKENS = 2048


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe a prompt; its last part belongs to one request or session only."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may also contain."""
        return self.parts[:-1]

    @property
    def is_short(self) -> bool:
        """Return whether engines run the prompt before all long ones."""
        return self.prompt_tokens <= LONG_PROMPT_TOKENS


@dataclass(frozen=True, slots=True)
class Envelope:
    """Hold a request as a front end parsed it; times are in epoch seconds.

    `target` is the HTTP request target, and `headers` are the headers that are passed
    to the endpoint unchanged. A caller that resumes a stream names the request that
    brought its first event in `resumed_request_id`.
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
    resumed_request_id: str | None = None


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a request with its route, service, organisation and deadline."""

    envelope: Envelope
    route: Route
    service: str
    organisation: Organisation | None
    deadline: float
    table_version: int
