"""Errors of HTTP/1.1 connections."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class ConnectionFailedError(AgatehoistError):
    """Report a connection that could not be opened, was reset or ended."""


class AnswerGarbledError(AgatehoistError):
    """Report bytes of a peer that aren't an answer to the request."""


class BadRequestError(AgatehoistError):
    """Report a request that breaks HTTP/1.1 or a limit, with its status."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status = status
        self.detail = detail
