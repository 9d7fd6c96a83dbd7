"""Errors of HTTP/1.1 connections."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class ConnectionFailedError(AgatehoistError):
    """Report a connection that could not be opened, was reset or closed."""


class NotListeningError(ConnectionFailedError):
    """Report a connection that was refused because no process listens there."""


class InvalidRequestError(AgatehoistError):
    """Report a request that HTTP/1.1 can't express; none of it was sent."""


class InvalidReplyError(AgatehoistError):
    """Report data from a peer that is not a valid reply to the request."""


class ReplyEvictedError(AgatehoistError):
    """Report a reply that was dropped as the process holds too many bytes of bodies."""


class BadRequestError(AgatehoistError):
    """Report a request that violates HTTP/1.1 or a limit, with the status to send."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status = status
        self.detail = detail
