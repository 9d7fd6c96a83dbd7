"""Errors of the inner protocol."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class ProtocolError(AgatehoistError):
    """Base of the errors that close one connection."""


class BadFrameError(ProtocolError):
    """Report bytes that are no message of this protocol."""


class VersionMismatchError(ProtocolError):
    """Report a peer that speaks another version."""


class ConnectionLostError(ProtocolError):
    """Report a connection that ended before an answer came."""


class NotWrittenError(ConnectionLostError):
    """Report a message of which no byte was written."""


class AuthenticationError(ProtocolError):
    """Report a peer that didn't prove a key."""


class WrongPeerError(ProtocolError):
    """Report an address at which another node answers than the expected one."""


class LimitExceededError(ProtocolError):
    """Report a peer that uses more than its share."""
