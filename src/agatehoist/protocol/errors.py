"""Errors of the protocol between the processes of agatehoist."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class ProtocolError(AgatehoistError):
    """Base of the errors that close one connection."""


class BadFrameError(ProtocolError):
    """Report bytes that are not a valid message."""


class VersionMismatchError(ProtocolError):
    """Report a peer that uses another protocol version."""


class ConnectionLostError(ProtocolError):
    """Report a connection that failed or ended before the reply arrived."""


class NotWrittenError(ConnectionLostError):
    """Report a message of which no byte was written."""


class AuthenticationError(ProtocolError):
    """Report a peer that didn't prove possession of a key."""


class WrongPeerError(ProtocolError):
    """Report an address at which an unexpected node was reached."""


class LimitExceededError(ProtocolError):
    """Report a peer that exceeds a limit on sessions or streams."""
