"""Rendezvous hashing of keys over endpoints."""

from __future__ import annotations

import functools
import hashlib
import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.placement.types import Candidate, Offer

HASH_BYTES = 8
# A float holds this many bits of a hash value exactly.
FLOAT_BITS = 52
MAX_CACHED_HASHES = 16_384


def rank(
    key: bytes, candidates: Iterable[Candidate], count: int
) -> tuple[Candidate, ...]:
    """Return the candidates with the highest hash values for the key."""
    return tuple(
        heapq.nlargest(count, candidates, key=lambda each: _hash_value(key, each.host))
    )


def _hash_value(key: bytes, host: str) -> bytes:
    return hashlib.blake2b(host.encode(), key=key, digest_size=HASH_BYTES).digest()


def rank_by_weight(key: bytes, offers: Iterable[Offer]) -> tuple[Offer, ...]:
    """Return the offers by weighted rendezvous hashing, the highest score first.

    An endpoint ranks first for a share of the keys that is proportional to its weight.
    A changed weight moves only the keys that this endpoint gains or loses. Equal
    weights give the order of `rank`.
    """
    return tuple(
        sorted(
            offers,
            key=lambda each: _weighted_score(key, each.candidate.host, each.weight),
            reverse=True,
        )
    )


def _weighted_score(key: bytes, host: str, weight: float) -> float:
    return weight * _unit_score(key, host)


@functools.lru_cache(MAX_CACHED_HASHES)
def _unit_score(key: bytes, host: str) -> float:
    value = int.from_bytes(_hash_value(key, host)) >> (8 * HASH_BYTES - FLOAT_BITS)
    # Between 0 and 1, both excluded, so that the logarithm is finite and negative.
    return -1 / math.log((value + 0.5) / 2**FLOAT_BITS)
