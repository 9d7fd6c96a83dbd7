"""Rendezvous hashing of keys over endpoints."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.placement.types import Candidate

HASH_BYTES = 8


def rank(
    key: bytes, candidates: Iterable[Candidate], count: int
) -> tuple[Candidate, ...]:
    """Return the candidates with the highest hash values for the key."""
    return tuple(
        heapq.nlargest(count, candidates, key=lambda each: _hash_value(key, each.host))
    )


def _hash_value(key: bytes, host: str) -> bytes:
    return hashlib.blake2b(host.encode(), key=key, digest_size=HASH_BYTES).digest()
