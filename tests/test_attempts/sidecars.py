"""State of the simulated sidecars and the faults injected into them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from agatehoist.attempts.ledger import AttemptLedger
from agatehoist.core.identity import AttemptId, EndpointIdentity


@dataclass(frozen=True)
class Faults:
    """Set the probability of each network fault and the one-off faults to inject.

    `late_after_cut_probability` is that of a message which still arrives, but later, if
    its connection is cut in the meantime.
    """

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    slow_probability: float = 0.0
    late_after_cut_probability: float = 0.0
    one_off_faults: tuple[str, ...] = ()
    one_off_fault_count: int = 1


@dataclass
class Running:
    """Hold the answer of one attempt that a sidecar runs.

    Each resume increases `reader_number`, and only the reader with the highest number
    gets the answer.
    """

    texts: list[str]
    ending: Any = None
    cancelled: bool = False
    reader_number: int = 0


@dataclass
class Sidecar:
    """Hold the state of one sidecar process and its endpoint.

    `connection_count` counts the connections of the router that were cut.
    """

    host: str
    restart_count: int = 0
    endpoint_restart_count: int = 0
    up: bool = True
    frozen_until: float = 0.0
    leaving: bool = False
    connection_count: int = 0
    ledger: AttemptLedger = field(default_factory=AttemptLedger)
    running_by_id: dict[AttemptId, Running] = field(default_factory=dict)

    @property
    def identity(self) -> EndpointIdentity:
        """Return the identity that offers carry."""
        return EndpointIdentity(
            f"{self.host}-{self.restart_count}", str(self.endpoint_restart_count), "1"
        )
