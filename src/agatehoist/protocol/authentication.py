"""Proof of a shared key after the hellos, with two keys valid at once."""

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
CONTEXT = "agatehoist inner connection"


@message(60)
@dataclass(frozen=True, slots=True)
class Challenge:
    """Ask the peer to prove a key; an empty nonce says there is none."""

    nonce: bytes


@message(61)
@dataclass(frozen=True, slots=True)
class Proof:
    """Prove a key for one connection."""

    digest: bytes


class Side(enum.StrEnum):
    """Say which end of a connection a process is."""

    CLIENT = "client"
    SERVER = "server"

    @property
    def other(self) -> Side:
        """Return the other end."""
        return Side.SERVER if self is Side.CLIENT else Side.CLIENT


@dataclass(frozen=True, slots=True)
class Greeting:
    """Hold what one side said before the proofs."""

    hello: Hello
    challenge: Challenge


class KeyRing:
    """Sign with the first key and accept all."""

    def __init__(self, keys: Iterable[str] = ()) -> None:
        self._keys = tuple(key.encode() for key in keys)

    def __bool__(self) -> bool:
        return bool(self._keys)

    def challenge(self) -> Challenge:
        """Return a challenge that was never used before."""
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
            raise AuthenticationError("peer has none of the keys")


def check_challenges(mine: Challenge, theirs: Challenge) -> None:
    """Check that both sides have keys, or neither, and that both nonces are new.

    Raises AuthenticationError.
    """
    if not mine.nonce and theirs.nonce:
        raise AuthenticationError("peer asks for a key and there is none here")
    if mine.nonce and not theirs.nonce:
        raise AuthenticationError("peer has no key")
    if mine.nonce and (len(theirs.nonce) != NONCE_BYTES or theirs == mine):
        raise AuthenticationError("peer sent no new nonce")


def _digest(key: bytes, side: Side, client: Greeting, server: Greeting) -> bytes:
    said = [CONTEXT, str(side), *_parts(client), *_parts(server)]
    return hmac.digest(key, msgpack.packb(said), hashlib.sha256)


def _parts(greeting: Greeting) -> list[object]:
    hello = greeting.hello
    return [
        hello.version,
        hello.node,
        hello.incarnation,
        hello.revision,
        greeting.challenge.nonce,
    ]
