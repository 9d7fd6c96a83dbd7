"""Messages for flow control, acknowledgement and keep-alive of attempts."""

from __future__ import annotations

from dataclasses import dataclass

from agatehoist.core.identity import AttemptId
from agatehoist.protocol.messages import message


@message(40)
@dataclass(frozen=True, slots=True)
class Window:
    """Permit the peer to send tokens up to an index, which is not included."""

    attempt_id: AttemptId
    until: int


@message(41)
@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Acknowledge the final message of an attempt."""

    attempt_id: AttemptId


@message(42)
@dataclass(frozen=True, slots=True)
class Ping:
    """Ask a peer that sends nothing to confirm that it is alive."""


@message(43)
@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a ping."""
