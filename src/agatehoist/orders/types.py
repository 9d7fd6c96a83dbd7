"""Types of the orders package."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

PINNED_SEPARATOR = "@"


class Role(enum.StrEnum):
    """Name the phase of inference that an engine runs; mixed runs both."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Holding:
    """Describe what an endpoint has loaded; an empty version means no weights."""

    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    role: Role = Role.MIXED


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what an endpoint reports about its state and its orders."""

    holding: Holding
    loading: bool = False
    error: str = ""


@dataclass(frozen=True, slots=True)
class FencingRecord:
    """Hold the fencing number of a host and the sidecar that raised it."""

    number: int
    owner: str


@dataclass(frozen=True, slots=True)
class Goal:
    """Hold the desired state of a host, its roll-out and configuration revision."""

    host: str
    holding: Holding
    attempt: int
    revision: int
    rollout: str

    @property
    def target(self) -> str:
        """Return a key of the weights version, the adapters and the attempt."""
        adapters = ",".join(self.holding.adapters)
        return f"{self.holding.weights_version}+{adapters}#{self.attempt}"


@dataclass(frozen=True, slots=True)
class Lease:
    """Allow one sidecar to load until an epoch time."""

    host: str
    owner: str
    fencing_number: int
    model: str
    rollout: str
    target: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Failure:
    """Record why a host's load failed."""

    host: str
    owner: str
    reason: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """Track the progress of a model's endpoints, or of a pinned one, to a target."""

    target: str
    revision: int
    loaded: int = 0
    failures: tuple[Failure, ...] = ()
    lapsed_hosts: tuple[str, ...] = ()
    down_hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ledger:
    """Hold the leases for loads from the weight store, and the roll-outs."""

    leases: tuple[Lease, ...] = ()
    rollouts_by_name: dict[str, Rollout] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claimant:
    """Identify a sidecar that requests a lease, and whether it will stop serving."""

    host: str
    owner: str
    fencing_number: int
    interrupts: bool


@dataclass(frozen=True, slots=True)
class ModelEndpoints:
    """Hold the number of a model's endpoints and the hosts of those that are live."""

    total: int
    live_hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class Granted:
    """Allow the load to start once the ledger is written."""

    ledger: Ledger
    lease: Lease


@dataclass(frozen=True, slots=True)
class Waiting:
    """Postpone the load until an epoch time."""

    reason: str
    retry_at: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """Postpone the load until an operator intervenes."""

    reason: str
