"""Nested prefix levels of a prompt."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from agatehoist.core.work import PrefixLevel

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

BYTES_PER_TOKEN = 4
DIGEST_BYTES = 8
FIRST_LEVEL_BYTES = 1024
MAX_LEVELS = 24


def salt_for(organisation: str, model: str, weights_version: str) -> bytes:
    """Return a salt that separates cached prefixes by all three parameters.

    The digests of prefix levels depend on it, and engines get it as their cache salt.
    """
    parts = (organisation, model, weights_version)
    joined = "\0".join(parts).encode()
    return hashlib.blake2b(joined, digest_size=16).digest()


def find_levels(parts: Iterable[str], salt: bytes) -> tuple[PrefixLevel, ...]:
    """Return the prefix levels of a prompt, shortest first.

    A level ends after each part and, inside a part, at lengths that double from
    FIRST_LEVEL_BYTES on.
    """
    state = hashlib.blake2b(salt, digest_size=DIGEST_BYTES)
    length = 0
    levels: list[PrefixLevel] = []
    for part in parts:
        for piece in _split(part.encode(), length):
            state.update(piece)
            length += len(piece)
            levels.append(PrefixLevel(state.digest(), estimate_tokens(length)))
    return tuple(levels[:MAX_LEVELS])


def estimate_tokens(length: int) -> int:
    """Return the estimated token count of a text from its length in bytes."""
    return -(-length // BYTES_PER_TOKEN)


def _split(data: bytes, start: int) -> Iterator[bytes]:
    position = 0
    boundary = FIRST_LEVEL_BYTES
    while boundary <= start:
        boundary *= 2
    while start + len(data) > boundary:
        yield data[position : boundary - start]
        position = boundary - start
        boundary *= 2
    if position < len(data):
        yield data[position:]
