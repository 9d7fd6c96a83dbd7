"""State of the simulated sidecars and the faults injected into them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from agatehoist.attempts.ledger import AttemptLedger
from agatehoist.core.identity import AttemptId, EndpointIdentity


@dataclass(frozen=True)
class Faults:
    """Set the probability of each network fault and the one-off faults to inject."""

    lost: float = 0.0
    duplicate: float = 0.0
    slow: float = 0.0
    hold: float = 0.0
    strikes: tuple[str, ...] = ()
    strike_count: int = 1


@dataclass
class Running:
    """Hold the answer of one attempt that a sidecar runs."""

    texts: list[str]
    ending: Any = None
    cancelled: bool = False
    reader: int = 0


@dataclass
class Sidecar:
    """Hold the state of one sidecar process and its endpoint."""

    host: str
    serial: int = 0
    endpoint_serial: int = 0
    up: bool = True
    frozen_until: float = 0.0
    leaving: bool = False
    connection: int = 0
    ledger: AttemptLedger = field(default_factory=AttemptLedger)
    running_by_id: dict[AttemptId, Running] = field(default_factory=dict)

    @property
    def identity(self) -> EndpointIdentity:
        """Return the identity that offers carry."""
        return EndpointIdentity(
            f"{self.host}-{self.serial}", str(self.endpoint_serial), "1"
        )
