"""Messages that steer the flow of an attempt's answer."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.identity import AttemptId
from agatehoist.protocol.messages import message


@message(40)
@dataclass(frozen=True, slots=True)
class Window:
    """Allow the tokens of an answer up to an index, which is not included."""

    attempt_id: AttemptId
    until: int


@message(41)
@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Say that the last message of an attempt has arrived."""

    attempt_id: AttemptId


@message(42)
@dataclass(frozen=True, slots=True)
class Ping:
    """Ask a silent peer for a sign of life."""


@message(43)
@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a ping."""
