"""Challenge-response authentication with a shared key.

It follows the hellos. Two keys may be valid at once, so that keys can be rotated.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from agatehoist.protocol.errors import AuthenticationError
from agatehoist.protocol.messages import Hello, message

if TYPE_CHECKING:
    from collections.abc import Iterable


NONCE_BYTES = 32
DIGEST_CONTEXT = "agatehoist inner connection"


@message(60)
@dataclass(frozen=True, slots=True)
class Challenge:
    """Ask the peer to prove a key; with an empty nonce, the sender has no key."""

    nonce: bytes


@message(61)
@dataclass(frozen=True, slots=True)
class Proof:
    """Prove possession of a key on one connection."""

    digest: bytes


class Side(enum.StrEnum):
    """Name the end of a connection that a process is at."""

    CLIENT = "client"
    SERVER = "server"

    @property
    def other(self) -> Side:
        """Return the other end."""
        return Side.SERVER if self is Side.CLIENT else Side.CLIENT


@dataclass(frozen=True, slots=True)
class Greeting:
    """Hold the hello and the challenge that one side sent."""

    hello: Hello
    challenge: Challenge


class KeyRing:
    """Prove the first key and accept proofs of any key."""

    def __init__(self, keys: Iterable[str] = ()) -> None:
        self._keys = tuple(key.encode() for key in keys)

    def __bool__(self) -> bool:
        return bool(self._keys)

    def challenge(self) -> Challenge:
        """Return a challenge with a new nonce, or an empty one if there are no keys."""
        return Challenge(secrets.token_bytes(NONCE_BYTES) if self._keys else b"")

    def prove(self, side: Side, client: Greeting, server: Greeting) -> Proof:
        """Return the proof of one side."""
        return Proof(_digest(self._keys[0], side, client, server))

    def verify(
        self, proof: Proof, side: Side, client: Greeting, server: Greeting
    ) -> None:
        """Check the proof of one side against every key in constant time.

        Raises AuthenticationError.
        """
        matches = [
            hmac.compare_digest(_digest(key, side, client, server), proof.digest)
            for key in self._keys
        ]
        if not any(matches):
            raise AuthenticationError("peer's proof matches none of the keys")


def check_challenges(own: Challenge, peer: Challenge) -> None:
    """Check that both sides or neither have keys and that the peer's nonce is new.

    Raises AuthenticationError.
    """
    if not own.nonce and peer.nonce:
        raise AuthenticationError("peer requires a key, but none is set here")
    if own.nonce and not peer.nonce:
        raise AuthenticationError("peer has no key")
    if own.nonce and (len(peer.nonce) != NONCE_BYTES or peer == own):
        raise AuthenticationError(
            "peer's nonce has the wrong length or is a copy of ours"
        )


def _digest(key: bytes, side: Side, client: Greeting, server: Greeting) -> bytes:
    transcript = [
        DIGEST_CONTEXT,
        str(side),
        *_transcript_fields(client),
        *_transcript_fields(server),
    ]
    return hmac.digest(key, msgpack.packb(transcript), hashlib.sha256)


def _transcript_fields(greeting: Greeting) -> list[object]:
    hello = greeting.hello
    return [
        hello.version,
        hello.node,
        hello.incarnation,
        hello.revision,
        greeting.challenge.nonce,
    ]
