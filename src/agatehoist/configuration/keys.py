"""Callers' keys."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.configuration.types import FleetConfiguration


def digest_key(key: str) -> str:
    """Return the digest under which a key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


def names_by_digest(configuration: FleetConfiguration) -> dict[str, str]:
    """Return the organisation names by the digests of their keys."""
    return {
        digest: name
        for name, organisation in configuration.organisations_by_name.items()
        for digest in organisation.key_digests
    }
