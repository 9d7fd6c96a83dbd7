"""Callers' keys."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.configuration.types import FleetConfiguration

SECRET_BYTES = 32
TAG_BYTES = 16


def digest_key(key: str) -> str:
    """Return the digest under which a key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyIndex:
    """Find the organisation of a key in a time that tells nothing of other keys."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        # Nobody outside can choose keys whose tags are near to those of others.
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._owners_by_tag = {
            self._tag(digest): _Owner(digest, name)
            for name, organisation in configuration.organisations_by_name.items()
            for digest in organisation.key_digests
        }

    def organisation_of(self, key: str) -> str | None:
        """Return the organisation of a key, or None."""
        digest = digest_key(key)
        owner = self._owners_by_tag.get(self._tag(digest))
        if owner is None or not hmac.compare_digest(owner.digest, digest):
            return None
        return owner.organisation

    def _tag(self, digest: str) -> bytes:
        return hashlib.blake2b(
            digest.encode(), key=self._secret, digest_size=TAG_BYTES
        ).digest()


@dataclass(frozen=True, slots=True)
class _Owner:
    """Name the organisation of a key by its digest."""

    digest: str
    organisation: str
