"""Types of the orders."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

PINNED = "@"


class Role(enum.StrEnum):
    """Say which part of the work an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Holding:
    """Say what an endpoint holds; no weights version means no weights."""

    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    role: Role = Role.MIXED


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what an endpoint reports about its orders."""

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
    """Say what a host should hold, for which roll-out and from which revision."""

    host: str
    holding: Holding
    attempt: int
    revision: int
    rollout: str

    @property
    def target(self) -> str:
        """Return the name of what the roll-out brings."""
        adapters = ",".join(self.holding.adapters)
        return f"{self.holding.weights_version}+{adapters}#{self.attempt}"


@dataclass(frozen=True, slots=True)
class Lease:
    """Let one sidecar load until the lease expires."""

    host: str
    owner: str
    fencing_number: int
    model: str
    rollout: str
    target: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Failure:
    """Tell why a host's load failed."""

    host: str
    owner: str
    reason: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """Follow the endpoints of a model, or a pinned one, to a target."""

    target: str
    revision: int
    loaded: int = 0
    failures: tuple[Failure, ...] = ()
    lapsed_hosts: tuple[str, ...] = ()
    down_hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ledger:
    """Hold the leases of the weight store and the roll-outs."""

    leases: tuple[Lease, ...] = ()
    rollouts_by_name: dict[str, Rollout] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claimant:
    """Name a sidecar that asks for a lease, and whether it will stop serving."""

    host: str
    owner: str
    fencing_number: int
    interrupts: bool


@dataclass(frozen=True, slots=True)
class ModelEndpoints:
    """Count the endpoints of a model and name those that stay."""

    total: int
    live_hosts: frozenset[str]


@dataclass(frozen=True, slots=True)
class Granted:
    """Let the load start once the ledger is written."""

    ledger: Ledger
    lease: Lease


@dataclass(frozen=True, slots=True)
class Waiting:
    """Put the load off until a point in time."""

    reason: str
    retry_at: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """Put the load off until operators decide."""

    reason: str
