"""Decisions on the claim that a call finds for its idempotency key."""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.claims.types import ClaimState, Dispatch, Outcome

if TYPE_CHECKING:
    from agatehoist.claims.types import StoredClaim
    from agatehoist.core.work import CallWork

MAX_OUTCOME_BYTES = 900_000
DIGEST_BYTES = 16


# The names of the classes Take, Replay, Follow and Reused, in lower case, are values of
# the label `found` of the metric agatehoist_claims_total.
@dataclass(frozen=True, slots=True)
class Take:
    """Claim the key by a write that is conditional on the version."""

    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer with the stored outcome; the call doesn't run again."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Follow:
    """Read the answer of the attempt that another router dispatched."""

    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class Reused:
    """Refuse the call, since its key was used with another request."""


def decide_on_claim(
    found: StoredClaim, digest: str, now: float
) -> Take | Replay | Follow | Reused:
    """Return what a call with the digest does on finding a claim at an epoch time."""
    claim = found.claim
    if claim.state is ClaimState.FREE or claim.expires_at <= now:
        return Take(found.version)
    if claim.digest != digest:
        return Reused()
    if claim.outcome is not None:
        return Replay(claim.outcome)
    assert claim.dispatch is not None
    return Follow(claim.dispatch)


def claim_name(organisation: str, service: str, key: str) -> str:
    """Return the name of the object that holds a claim."""
    return _digest([organisation.encode(), service.encode(), key.encode()])


def digest_work(work: CallWork) -> str:
    """Return a digest of method, path and body that distinguishes requests."""
    return _digest([work.method.encode(), work.path.encode(), work.body])


def make_outcome(
    host: str, status: int, headers_by_name: dict[str, str], body: bytes
) -> Outcome:
    """Return the outcome to store, without headers and body if it is too large.

    A repeated call whose outcome has no body is refused (outcome_too_large).
    """
    encoded_body = base64.b64encode(body).decode()
    headers_length = sum(
        len(name) + len(value) for name, value in headers_by_name.items()
    )
    if len(encoded_body) + headers_length > MAX_OUTCOME_BYTES:
        return Outcome(host, status)
    return Outcome(host, status, headers_by_name, encoded_body)


def _digest(fields: list[bytes]) -> str:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in fields:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()
