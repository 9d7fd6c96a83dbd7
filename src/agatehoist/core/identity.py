"""Identities of processes, endpoints and attempts."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

INCARNATION_BYTES = 8


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Identify one attempt of a request, uniquely across processes."""

    router_incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.router_incarnation}-{self.sequence}"


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """Identify the processes and weights of an endpoint chosen for a request."""

    sidecar_incarnation: str
    endpoint_incarnation: str
    weights_version: str


def new_incarnation() -> str:
    """Return a random identifier for one run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)
