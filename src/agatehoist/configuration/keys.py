"""API keys of callers."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agatehoist.configuration.types import FleetConfiguration

SECRET_BYTES = 32
TAG_BYTES = 16


BEARER_PREFIX = "bearer "


def bearer_key(header: str) -> str | None:
    """Return the key of an Authorization header, or None if it holds none."""
    if not header.lower().startswith(BEARER_PREFIX):
        return None
    return header[len(BEARER_PREFIX) :].strip()


def digest_key(key: str) -> str:
    """Return the digest under which a key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyIndex:
    """Look up the organisation of an API key without a timing side channel."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        # A tag is a hash of a key's digest, keyed with a secret, so that a caller can't
        # choose keys whose tags share leading bytes with those of other keys.
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._names_by_tag: dict[bytes, str] = {}
        self._digests_by_name: dict[str, tuple[str, ...]] = {}
        self.update(configuration)

    def update(self, configuration: FleetConfiguration) -> None:
        """Index the keys of a new configuration, skipping unchanged organisations."""
        digests_by_name = {
            name: organisation.key_digests
            for name, organisation in configuration.organisations_by_name.items()
        }
        before = self._digests_by_name
        for name, digests in before.items():
            if digests_by_name.get(name) != digests:
                self._remove(digests)
        for name, digests in digests_by_name.items():
            if before.get(name) != digests:
                self._add(name, digests)
        self._digests_by_name = digests_by_name

    def organisation_of(self, key: str) -> str | None:
        """Return the organisation of a key, or None."""
        return self._names_by_tag.get(self._tag(digest_key(key)))

    def _add(self, name: str, digests: tuple[str, ...]) -> None:
        for digest in digests:
            self._names_by_tag[self._tag(digest)] = name

    def _remove(self, digests: tuple[str, ...]) -> None:
        for digest in digests:
            self._names_by_tag.pop(self._tag(digest), None)

    def _tag(self, digest: str) -> bytes:
        return hashlib.blake2b(
            digest.encode(), key=self._secret, digest_size=TAG_BYTES
        ).digest()
