"""Types of the claims package."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from agatehoist.attempts.types import Target


class ClaimState(enum.StrEnum):
    """Name the state of a claimed call."""

    RUNNING = "running"
    DONE = "done"
    FREE = "free"


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Identify the attempt that a router submits for a call and that may run it.

    The deadline is in epoch seconds.
    """

    target: Target
    deadline: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold the answer to a call; the body is in base64, or None if too large."""

    host: str
    status: int
    headers_by_name: dict[str, str] = field(default_factory=dict)
    body: str | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """Bind a caller's idempotency key to one call until an epoch time."""

    # Random id of the call that wrote the claim.
    owner: str
    # Digest of the call's method, path and body.
    digest: str
    state: ClaimState
    expires_at: float
    dispatch: Dispatch | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """Hold a claim at its version in the platform."""

    version: int
    claim: Claim
