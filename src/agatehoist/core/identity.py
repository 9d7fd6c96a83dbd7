"""Identities of processes, endpoints and attempts."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

INCARNATION_BYTES = 8


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Name one attempt of a request."""

    router_incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.router_incarnation}-{self.sequence}"


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """Name the state of an endpoint that work was placed for."""

    sidecar_incarnation: str
    endpoint_incarnation: str
    weights_version: str


def new_incarnation() -> str:
    """Return a random name for one run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)
