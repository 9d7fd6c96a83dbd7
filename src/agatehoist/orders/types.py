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
    """Describe what an endpoint has loaded or should have loaded.

    An empty version means no weights.
    """

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
    """Hold the fencing number of a host and the sidecar that increased it."""

    number: int
    owner: str


@dataclass(frozen=True, slots=True)
class Goal:
    """Hold the desired state of a host, its roll-out and configuration revision."""

    host: str
    holding: Holding
    # The `rollout_attempt` of the model, not an attempt of a request.
    attempt: int
    revision: int
    # Name of the roll-out: the model's, or `model@host` for a pinned host.
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
    """Track how far a model's endpoints, or a pinned one, have loaded a target.

    A target is the key that `Goal.target` returns.
    """

    target: str
    revision: int
    loaded: int = 0
    failures: tuple[Failure, ...] = ()
    # Hosts whose lease expired before they reported a result.
    lapsed_hosts: tuple[str, ...] = ()
    # Hosts whose load of an earlier target failed or didn't end.
    down_hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ledger:
    """Hold the leases to load from the weight store, and the roll-outs."""

    leases: tuple[Lease, ...] = ()
    rollouts_by_name: dict[str, Rollout] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseRequester:
    """Identify a sidecar that requests a lease, and whether it will stop serving."""

    host: str
    owner: str
    fencing_number: int
    interrupts: bool


@dataclass(frozen=True, slots=True)
class ModelEndpoints:
    """Hold the number of a model's listed endpoints and the hosts of the live ones."""

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
    """Refuse the load.

    As a rule, this lasts until an operator changes the goal or the sidecar restarts.
    """

    reason: str
