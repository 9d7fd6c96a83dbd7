"""Decisions on a claim that a keyed call finds."""

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


@dataclass(frozen=True, slots=True)
class Take:
    """Claim the key by a write at a version."""

    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the stored outcome again."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Follow:
    """Read the answer of the attempt that another router made."""

    dispatch: Dispatch


@dataclass(frozen=True, slots=True)
class Reused:
    """Refuse, since the key belongs to another request."""


def judge(
    found: StoredClaim, digest: str, now: float
) -> Take | Replay | Follow | Reused:
    """Return what a call with the digest does about a claim at an epoch time."""
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
    """Return the digest that tells one request from another."""
    return _digest([work.method.encode(), work.path.encode(), work.body])


def make_outcome(
    host: str, status: int, headers_by_name: dict[str, str], body: bytes
) -> Outcome:
    """Return the outcome to store; one that is too large keeps no body."""
    encoded = base64.b64encode(body).decode()
    headers_size = sum(len(name) + len(each) for name, each in headers_by_name.items())
    if len(encoded) + headers_size > MAX_OUTCOME_BYTES:
        return Outcome(host, status)
    return Outcome(host, status, headers_by_name, encoded)


def _digest(parts: list[bytes]) -> str:
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()
